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
	// contextBefore and after are how far around a request other lines about its group are told.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
	// maxLineBytes is the longest line in bytes that is read.
	maxLineBytes = 1 << 20
)

// ErrNotFound tells that no line is about the request.
var ErrNotFound = errors.New("no line is about this request: it was answered and is not in the sample, or lines of a host are missing")

// logLine is one log line.
type logLine struct {
	Message   string         `json:"message"`
	Timestamp time.Time      `json:"timestamp"`
	Fields    map[string]any `json:"fields"`
}

func (l logLine) field(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return "?"
}

// Explain writes the story of a request, from the lines of any number of hosts in any order.
func Explain(w io.Writer, r io.Reader, id string) error {
	lines, unreadable, err := readLines(r)
	if err != nil {
		return err
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Timestamp.Before(lines[j].Timestamp) })
	related := selectRelated(lines, id)
	if unreadable > 0 {
		fmt.Fprintf(w, "%d lines could not be read and were left out\n", unreadable)
	}
	if len(related) == 0 {
		return ErrNotFound
	}
	for _, l := range related {
		fmt.Fprintf(w, "%s %s: %s\n", l.Timestamp.Format("15:04:05.000"), l.field("host"), describe(l))
	}
	fmt.Fprintln(w, summarize(related, id))
	return nil
}

// readLines reads lines; what stands before the first brace is a prefix of somebody else's.
func readLines(r io.Reader) (lines []logLine, unreadable int, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		b := sc.Bytes()
		start := bytes.IndexByte(b, '{')
		if start < 0 {
			unreadable++
			continue
		}
		var l logLine
		if json.Unmarshal(b[start:], &l) != nil || l.Message == "" {
			unreadable++
			continue
		}
		lines = append(lines, l)
	}
	return lines, unreadable, sc.Err()
}

// selectRelated returns the lines about a request, and those about its group around that time.
func selectRelated(lines []logLine, id string) []logLine {
	groups, instances := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.field("request") != id {
			continue
		}
		groups[l.field("group")] = true
		instances[l.field("instance")] = true
		if first.IsZero() {
			first = l.Timestamp
		}
		last = l.Timestamp
	}
	var related []logLine
	for _, l := range lines {
		_, isRequestLine := l.Fields["request"]
		inWindow := !l.Timestamp.Before(first.Add(-contextBefore)) && !l.Timestamp.After(last.Add(contextAfter))
		sameTarget := groups[l.field("group")] || instances[l.field("instance")] && l.field("instance") != "?"
		if l.field("request") == id || (!first.IsZero() && inWindow && !isRequestLine && sameTarget) {
			related = append(related, l)
		}
	}
	return related
}

// describe tells one line.
func describe(l logLine) string {
	switch l.Message {
	case sess.EventTry:
		return fmt.Sprintf("try %s at instance %s stopped (%s): %s; position needed %s, term %s, after %s",
			l.field("try"), l.field("instance"), l.field("stage"), l.field("cause"), l.field("needed"), l.field("term"), l.field("took"))
	case sess.EventRefused:
		return fmt.Sprintf("request given up as %s after %s tries and %s; term %s of group %s open: %s, primary %s, lease held: %s, latest position %s old",
			l.field("code"), l.field("tries"), l.field("took"), l.field("term"), l.field("group"), l.field("open"), l.field("primary"), l.field("leased"), l.field("positionage"))
	case sess.EventCut:
		return fmt.Sprintf("transaction ended as %s at its %s on instance %s: %s; it had written: %s",
			l.field("code"), l.field("kind"), l.field("instance"), l.field("cause"), l.field("wrote"))
	case sess.EventServed:
		return fmt.Sprintf("answered by instance %s at try %s after %s", l.field("instance"), l.field("try"), l.field("took"))
	}
	b, err := json.Marshal(l.Fields)
	if err != nil {
		return l.Message
	}
	return l.Message + " " + string(b)
}

// summarize sums up what is known.
func summarize(related []logLine, id string) string {
	outcome := "no line tells its end: it was answered, or the line was left out for want of room"
	for _, l := range related {
		if l.field("request") != id {
			continue
		}
		switch l.Message {
		case sess.EventRefused, sess.EventCut:
			outcome = "it ended as " + l.field("code")
		case sess.EventServed:
			outcome = "it was answered"
		}
		if _, ok := l.Fields["skipped"]; ok {
			outcome += "; " + l.field("skipped") + " lines of host " + l.field("host") + " were left out before"
		}
	}
	return "request " + id + ": " + outcome
}
