package soak

import (
	"fmt"
	"time"
)

// Outcome is what a caller was told of a statement.
type Outcome int

// The outcomes.
const (
	// Doubt promises nothing.
	Doubt Outcome = iota
	// Acked means success.
	Acked
	// Promised means that nothing of the statement is kept.
	Promised
)

// Write is one write of a caller. Each item has one writer, which writes 1, 2, 3 and so on.
type Write struct {
	ID      string
	Item    string
	Value   int
	Outcome Outcome
	// Ended is when the caller had its answer.
	Ended time.Time
}

// Read is one successful read of an item.
type Read struct {
	Item  string
	Value int
	Began time.Time
	// Age is how old the answer may be; Own is set for the item's writer itself, whose own
	// acknowledged writes it must hold.
	Age time.Duration
	Own bool
}

// Version is a declaration's number that an operator was acknowledged or read back.
type Version struct {
	Host   string
	Number uint64
	// Began is when the call was sent, Ended when its answer came.
	Began time.Time
	Ended time.Time
}

// History is what callers and the operator have seen.
type History struct {
	Writes []Write
	Reads  []Read
	// Declared are the acknowledged declarations, Held those that were read back.
	Declared []Version
	Held     []Version
}

// applied is how long after its acknowledgment a declaration must be in force everywhere.
const applied = 3 * time.Second

// Check returns the promises that a history breaks. ran returns how often a write is in the log
// of the primary, and at where it stands there, -1 where it does not.
func (h History) Check(ran, at func(id string) int) []string {
	var broken []string
	for _, w := range h.Writes {
		if s := w.check(ran(w.ID)); s != "" {
			broken = append(broken, s)
		}
	}
	acked, place := map[string][]Write{}, map[string]int{}
	for _, w := range h.Writes {
		place[w.version()] = at(w.ID)
		if w.Outcome == Acked {
			acked[w.Item] = append(acked[w.Item], w)
		}
	}
	for _, r := range h.Reads {
		if s := r.check(acked[r.Item], place); s != "" {
			broken = append(broken, s)
		}
	}
	for _, v := range h.Held {
		if s := v.check(h.Declared); s != "" {
			broken = append(broken, s)
		}
	}
	return broken
}

func (w Write) check(ran int) string {
	switch {
	case w.Outcome == Acked && ran != 1:
		return fmt.Sprintf("write %s was acknowledged and ran %d times", w.ID, ran)
	case w.Outcome == Promised && ran != 0:
		return fmt.Sprintf("write %s was said not to be kept and ran %d times", w.ID, ran)
	case ran > 1:
		return fmt.Sprintf("write %s ran %d times", w.ID, ran)
	}
	return ""
}

// version names what a write has made of its item.
func (w Write) version() string { return fmt.Sprint(w.Item, "=", w.Value) }

// check compares places in the log, not values: a write that was in doubt may take effect after a
// later one was acknowledged, and is what reads give from then on.
func (r Read) check(acked []Write, place map[string]int) string {
	seen, known := place[Write{Item: r.Item, Value: r.Value}.version()]
	if !known {
		seen = -1
	}
	for _, w := range acked {
		old := w.Ended.Before(r.Began.Add(-r.Age))
		if r.Own {
			old = w.Ended.Before(r.Began)
		}
		if old && place[w.version()] > seen {
			return fmt.Sprintf("read of %s gave %d, but %d was acknowledged %s before (age %s, own %v)", r.Item, r.Value, w.Value, r.Began.Sub(w.Ended), r.Age, r.Own)
		}
	}
	return ""
}

func (v Version) check(declared []Version) string {
	for _, d := range declared {
		if d.Number > v.Number && d.Ended.Add(applied).Before(v.Began) {
			return fmt.Sprintf("%s holds declaration %d, but %d was acknowledged %s before", v.Host, v.Number, d.Number, v.Began.Sub(d.Ended))
		}
	}
	return ""
}
