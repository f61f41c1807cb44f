package sess

import "github.com/agatespindle/agatespindle/internal/traffic/flow"

// keptOverhead is the number of bytes that a session value or a prepared statement takes besides its text.
const keptOverhead = 96

// KeptBytes returns the number of bytes that a statement adds to what the session keeps, if its name is new.
func (s *Session) KeptBytes(st flow.Statement) int {
	return keptOverhead + len(st.Name) + len(st.Value) + len(st.Template)
}

// ValuesWith returns the number of session values once the named one is set.
func (s *Session) ValuesWith(name string) int {
	n, known := 0, 0
	s.values.Each(func(have, _ string) {
		n++
		if have == name {
			known = 1
		}
	})
	return n + 1 - known
}

// Kept returns the number of bytes that the session's values and prepared statements take.
func (s *Session) Kept() int {
	total := 0
	s.values.Each(func(name, value string) { total += keptOverhead + len(name) + len(value) })
	for name, p := range s.prepared {
		total += keptOverhead + len(name) + len(p.template)
	}
	return total
}
