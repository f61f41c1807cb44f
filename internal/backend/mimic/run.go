package mimic

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// rowBytes is the size of each row of a large answer, and largeRow such a row.
const rowBytes = 64 << 10

var largeRow = strings.Repeat("x", rowBytes)

// Run is one execution of a statement.
type Run struct {
	Instance  string
	ArrivedAt time.Time
	// EndedAt is when the answer was sent or the instance broke off; it is zero before that.
	EndedAt  time.Time
	BrokeOff bool
	// Refused is set if the instance answered that it did not run the statement.
	Refused bool
	// Account is the account that the startup of the connection named.
	Account string
	// Text is the statement as it arrived, without the position that may precede it.
	Text string
	// Shape is what the statement's name was prepared as, READ or WRITE and the shape; empty for others.
	Shape string
	// Values are the session values of the connection. They must not be changed.
	Values map[string]string
	// Proof and Rows are what the answer held.
	Proof string
	Rows  []string
}

// Runs returns the executions of the statement with the id.
func (g *Group) Runs(id string) []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs[id])
}

// AllRuns returns the executions of all statements by id.
func (g *Group) AllRuns() map[string][]Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := map[string][]Run{}
	for id, runs := range g.runs {
		all[id] = slices.Clone(runs)
	}
	return all
}

// Strays returns a description of each line that an instance could not read, and of each read, write or
// commit that no caller's id came with.
func (g *Group) Strays() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.strays)
}

// recordStray records a line that an instance should not have got.
func (g *Group) recordStray(instance, line string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.strays = append(g.strays, fmt.Sprintf("%s got %q", instance, line))
}

// Committed returns how often the write with each id occurs in the current primary's log, whether or not it
// was part of a transaction.
func (g *Group) Committed() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[string]int{}
	for _, e := range g.primary.log {
		for _, w := range e.writes {
			id, _, _ := strings.Cut(w.id, "/")
			counts[id]++
		}
	}
	return counts
}

// cutPosition splits a statement into the position that may precede it and the rest.
func cutPosition(text string) (position, statement string) {
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ = strings.Cut(rest, " ")
		return position, statement
	}
	return "", text
}

// startRun records the arrival of a statement and returns the index of its run.
func (s *session) startRun(id, text string, now time.Time) int {
	g := s.in.group
	_, text = cutPosition(text)
	verb, rest, _ := strings.Cut(text, " ")
	if id == "-" && verb != "STAT" && takesSlot(text) {
		g.recordStray(s.in.Name, text)
	}
	if !g.RecordRuns || id == "-" {
		return -1
	}
	run := Run{Instance: s.in.Name, Account: s.account, ArrivedAt: now, Text: text, Values: s.settings}
	if verb == "EXEC" {
		name, _, _ := strings.Cut(rest, " ")
		run.Shape = s.prepared[name]
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs == nil {
		g.runs = map[string][]Run{}
	}
	g.runs[id] = append(g.runs[id], run)
	return len(g.runs[id]) - 1
}

// endRun records the end of a run. answered is false if the instance closes the connection instead.
func (s *session) endRun(id string, index int, answered bool, now time.Time) {
	if index < 0 {
		return
	}
	s.in.group.mu.Lock()
	defer s.in.group.mu.Unlock()
	run := &s.in.group.runs[id][index]
	run.EndedAt, run.BrokeOff, run.Refused, run.Proof, run.Rows = now, !answered, s.refused, s.proof, s.rows
}

// writeRows answers a read of an item "large:KILOBYTES" with rows of that total size. It releases the
// group's mu, which the caller holds, while it writes them.
func (s *session) writeRows(kilobytes string) bool {
	n, _ := strconv.Atoi(kilobytes)
	s.in.group.mu.Unlock()
	for range n << 10 / rowBytes {
		s.writeRow(largeRow)
	}
	s.in.group.mu.Lock()
	return s.writeDone()
}
