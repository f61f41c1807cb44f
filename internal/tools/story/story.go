// Package story tells from log lines what became of a request.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/sess"
)

const (
	// before and after are how far around a request other lines about its group are told.
	before = 5 * time.Second
	after  = time.Second
	// maxLine is the longest line in bytes that is read.
	maxLine = 1 << 20
)

// ErrUnknown tells that no line is about the request.
var ErrUnknown = errors.New("no line is about this request: it was answered and is not in the sample, or lines of a host are missing")

// line is one log line.
type line struct {
	Message   string         `json:"message"`
	Timestamp time.Time      `json:"timestamp"`
	Fields    map[string]any `json:"fields"`
}

func (l line) text(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return "?"
}

// Tell writes the story of a request, from the lines of any number of hosts in any order.
func Tell(w io.Writer, r io.Reader, id string) error {
	lines, foreign, err := read(r)
	if err != nil {
		return err
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Timestamp.Before(lines[j].Timestamp) })
	about := pick(lines, id)
	if foreign > 0 {
		fmt.Fprintf(w, "%d lines could not be read and were left out\n", foreign)
	}
	if len(about) == 0 {
		return ErrUnknown
	}
	for _, l := range about {
		fmt.Fprintf(w, "%s %s: %s\n", l.Timestamp.Format("15:04:05.000"), l.text("host"), sentence(l))
	}
	fmt.Fprintln(w, verdict(about, id))
	return nil
}

// read reads lines; what stands before the first brace is a prefix of somebody else's.
func read(r io.Reader) (lines []line, foreign int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		b := sc.Bytes()
		at := bytes.IndexByte(b, '{')
		if at < 0 {
			foreign++
			continue
		}
		var l line
		if json.Unmarshal(b[at:], &l) != nil || l.Message == "" {
			foreign++
			continue
		}
		lines = append(lines, l)
	}
	return lines, foreign, sc.Err()
}

// pick returns the lines about a request, and those about its group around that time.
func pick(lines []line, id string) []line {
	groups, instances := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.text("request") != id {
			continue
		}
		groups[l.text("group")] = true
		instances[l.text("instance")] = true
		if first.IsZero() {
			first = l.Timestamp
		}
		last = l.Timestamp
	}
	var about []line
	for _, l := range lines {
		_, request := l.Fields["request"]
		near := !l.Timestamp.Before(first.Add(-before)) && !l.Timestamp.After(last.Add(after))
		concerns := groups[l.text("group")] || instances[l.text("instance")] && l.text("instance") != "?"
		if l.text("request") == id || (!first.IsZero() && near && !request && concerns) {
			about = append(about, l)
		}
	}
	return about
}

// sentence tells one line.
func sentence(l line) string {
	switch l.Message {
	case sess.EventTryFailed:
		return fmt.Sprintf("try %s at instance %s stopped (%s): %s; position needed %s, term %s, after %s",
			l.text("try"), l.text("instance"), l.text("stage"), l.text("cause"), l.text("needed"), l.text("term"), l.text("took"))
	case sess.EventRefused:
		return fmt.Sprintf("request given up as %s after %s tries and %s; term %s of group %s open: %s, primary %s, lease held: %s, latest position %s old",
			l.text("code"), l.text("tries"), l.text("took"), l.text("term"), l.text("group"), l.text("open"), l.text("primary"), l.text("leased"), l.text("positionage"))
	case sess.EventTransactionEnded:
		return fmt.Sprintf("transaction ended as %s at its %s on instance %s: %s; it had written: %s",
			l.text("code"), l.text("kind"), l.text("instance"), l.text("cause"), l.text("wrote"))
	case sess.EventServed:
		return fmt.Sprintf("answered by instance %s at try %s after %s", l.text("instance"), l.text("try"), l.text("took"))
	}
	b, err := json.Marshal(l.Fields)
	if err != nil {
		return l.Message
	}
	return l.Message + " " + string(b)
}

// verdict sums up what is known.
func verdict(about []line, id string) string {
	end := "no line tells its end: it was answered, or the line was left out for want of room"
	for _, l := range about {
		if l.text("request") != id {
			continue
		}
		switch l.Message {
		case sess.EventRefused, sess.EventTransactionEnded:
			end = "it ended as " + l.text("code")
		case sess.EventServed:
			end = "it was answered"
		}
		if _, ok := l.Fields["skipped"]; ok {
			end += "; " + l.text("skipped") + " lines of host " + l.text("host") + " were left out before"
		}
	}
	return "request " + id + ": " + end
}
