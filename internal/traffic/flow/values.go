package flow

import "slices"

// Values is an immutable list of session values, in the order in which they were first set.
type Values struct {
	list []value
}

// value is a session value with its name.
type value struct{ name, value string }

// With returns a copy with the named value set to val.
func (v Values) With(name, val string) Values {
	next := slices.Clone(v.list)
	for i := range next {
		if next[i].name == name {
			next[i].value = val
			return Values{next}
		}
	}
	return Values{append(next, value{name, val})}
}

// Equal reports whether both hold the same names and values, in any order.
func (v Values) Equal(other Values) bool {
	if len(v.list) != len(other.list) {
		return false
	}
	for _, item := range v.list {
		if !slices.Contains(other.list, item) {
			return false
		}
	}
	return true
}

// Empty reports whether no value is set.
func (v Values) Empty() bool { return len(v.list) == 0 }

// Each calls fn for each value in order.
func (v Values) Each(fn func(name, value string)) {
	for _, item := range v.list {
		fn(item.name, item.value)
	}
}

// Pairs returns names and values alternately: name, value, name, value, ….
func (v Values) Pairs() []string {
	list := make([]string, 0, 2*len(v.list))
	for _, item := range v.list {
		list = append(list, item.name, item.value)
	}
	return list
}

// ValuesOf returns the Values that a result of Pairs describes.
func ValuesOf(pairs []string) Values {
	var v Values
	for i := 0; i+1 < len(pairs); i += 2 {
		v.list = append(v.list, value{pairs[i], pairs[i+1]})
	}
	return v
}
