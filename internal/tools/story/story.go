// Package story explains the outcome of a request from the log lines of the hosts, and counts the
// requests that failed.
package story

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/agatespindle/agatespindle/internal/base/logs"
	"github.com/agatespindle/agatespindle/internal/traffic/drain"
	"github.com/agatespindle/agatespindle/internal/traffic/sess"
)

const (
	// contextBefore and contextAfter bound the time before the request's first line and after its
	// last one in which other lines about its groups and instances are included.
	contextBefore = 10 * time.Second
	contextAfter  = time.Second
	// maxLineBytes is the maximum length of a line; a longer one is no log line.
	maxLineBytes = 1 << 20
)

// ErrNotFound is returned by Explain when no line mentions the request.
var ErrNotFound = errors.New("no log line mentions this request: it was answered and not sampled, or the lines of a host are missing")

// logLine is one decoded log line.
type logLine struct {
	Message   string         `json:"message"`
	Timestamp time.Time      `json:"timestamp"`
	Fields    map[string]any `json:"fields"`
}

// field returns the value of a field as text, or "?" if the line does not have it.
func (l logLine) field(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return "?"
}

// shown returns the text of a field as it is printed: on one line, without control characters.
func shown(s string) string {
	if !strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return s
	}
	var b strings.Builder
	for _, r := range s {
		if unicode.IsPrint(r) {
			b.WriteRune(r)
			continue
		}
		q := strconv.QuoteRune(r)
		b.WriteString(q[1 : len(q)-1])
	}
	return b.String()
}

// Explain writes the events of the request with the given ID to w in order of time, then its
// outcome. r holds JSON log lines of any number of hosts in any order. It returns ErrNotFound if no
// line mentions the request, or an error if r cannot be read.
func Explain(w io.Writer, r io.Reader, id string) error {
	id = logs.Shorten(id)
	lines, unreadable, err := readLines(r)
	if err != nil {
		return err
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Timestamp.Before(lines[j].Timestamp) })
	related := selectRelated(lines, id)
	if unreadable > 0 {
		fmt.Fprintf(w, "%d lines are not valid log lines and were ignored\n", unreadable)
	}
	if len(related) == 0 {
		return ErrNotFound
	}
	for _, l := range related {
		fmt.Fprintf(w, "%s %s: %s\n", l.Timestamp.Format("15:04:05.000"), shown(l.field("host")), shown(describe(l)))
	}
	fmt.Fprintln(w, shown(summarize(related, id)))
	return nil
}

// readLines decodes the log lines of r and counts those that it cannot decode.
func readLines(r io.Reader) (lines []logLine, unreadable int, err error) {
	err = eachLine(r, func(line []byte) {
		l, ok := decodeLine(line)
		if !ok {
			unreadable++
			return
		}
		lines = append(lines, l)
	})
	return lines, unreadable, err
}

// selectRelated returns the lines of a request, and the lines about its groups and instances from
// around that time that belong to no request.
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

// describe returns a line as a readable sentence.
func describe(l logLine) string {
	switch l.Message {
	case sess.EventTryFailed:
		return fmt.Sprintf("try %s at instance %s failed (%s): %s; required position %s, term %s, after %s; view of the resources %s old",
			l.field("try"), l.field("instance"), l.field("stage"), l.field("cause"), l.field("needed"), l.field("term"), l.field("took"), l.field("viewage")) + placementText(l)
	case sess.EventRefused:
		return leavingText(l) + fmt.Sprintf("request refused with %s after %s tries and %s; term %s of group %s open: %s, primary %s, lease valid: %s, latest known position %s old, view of the resources %s old",
			l.field("code"), l.field("tries"), l.field("took"), l.field("term"), l.field("group"), l.field("open"), l.field("primary"), l.field("leased"), l.field("positionage"), l.field("viewage"))
	case sess.EventTransactionEnded:
		return fmt.Sprintf("transaction ended with %s at %s on instance %s: %s; had written: %s",
			l.field("code"), l.field("kind"), l.field("instance"), l.field("cause"), l.field("wrote"))
	case sess.EventCallerLeft:
		return fmt.Sprintf("caller left after %s, before the answer", l.field("took"))
	case drain.EventCut:
		return fmt.Sprintf("host closed the caller's connection: request running: %s (for %s), %s bytes of answers not sent, %s bytes of messages not handled; draining for %s",
			l.field("busy"), l.field("took"), l.field("unsent"), l.field("unhandled"), l.field("draining"))
	case sess.EventServed:
		return fmt.Sprintf("served by instance %s on try %s after %s", l.field("instance"), l.field("try"), l.field("took")) + placementText(l)
	}
	b, err := json.Marshal(l.Fields)
	if err != nil {
		return l.Message
	}
	return l.Message + " " + string(b)
}

// placementText says why an instance was chosen, if it was by the load that lenders reported.
func placementText(l logLine) string {
	if _, ok := l.Fields["expected"]; !ok {
		return ""
	}
	return fmt.Sprintf("; chosen for an expected %s by a report %s old, after %s lenders declined", l.field("expected"), l.field("newsage"), l.field("moved"))
}

// leavingText says how the primary's deadline for leaving stood when a request was refused, if the
// primary was leaving.
func leavingText(l logLine) string {
	left, err := time.ParseDuration(l.field("leavein"))
	switch {
	case err != nil:
		return ""
	case left > 0:
		return fmt.Sprintf("primary %s leaves and gets new requests for another %s: ", l.field("primary"), left)
	}
	return fmt.Sprintf("primary %s leaves and has got no new requests since its deadline %s ago: ", l.field("primary"), -left)
}

// summarize returns one line with the outcome of a request and the number of log lines that its
// hosts skipped.
func summarize(related []logLine, id string) string {
	outcome := "no line shows its outcome: it was answered, or the line was skipped by the log's rate limit"
	for _, l := range related {
		if l.field("request") != id {
			continue
		}
		switch l.Message {
		case sess.EventRefused, sess.EventTransactionEnded:
			outcome = "ended with " + l.field("code")
		case sess.EventCallerLeft:
			outcome = "its caller left before the answer"
		case drain.EventCut:
			outcome = "its host closed the connection before the answer was sent"
		case sess.EventServed:
			outcome = "answered"
		}
		if _, ok := l.Fields["skipped"]; ok {
			outcome += "; " + l.field("skipped") + " earlier lines of host " + l.field("host") + " were skipped by the log's rate limit"
		}
	}
	return "request " + id + ": " + outcome
}
