package mimic

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// rowBytes is the size of each row of a large answer.
const rowBytes = 64 << 10

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
}

// Runs returns the executions of the statement with the id.
func (g *Group) Runs(id string) []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs[id])
}

// startRun records the arrival of a statement and returns the index of its run.
func (g *Group) startRun(instance, account, id string, now time.Time) int {
	if !g.RecordRuns || id == "-" {
		return -1
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs == nil {
		g.runs = map[string][]Run{}
	}
	g.runs[id] = append(g.runs[id], Run{Instance: instance, Account: account, ArrivedAt: now})
	return len(g.runs[id]) - 1
}

// endRun records the end of a run. answered is false if the instance closes the connection instead, refused is
// set if it answered that the statement did not run.
func (g *Group) endRun(id string, index int, answered, refused bool, now time.Time) {
	if index < 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	run := &g.runs[id][index]
	run.EndedAt, run.BrokeOff, run.Refused = now, !answered, refused
}

// writeRows answers a read of an item "large:KILOBYTES" with rows of that total size. It releases the
// group's mu, which the caller holds, while it writes them.
func (s *session) writeRows(kilobytes string) bool {
	n, _ := strconv.Atoi(kilobytes)
	row := strings.Repeat("x", rowBytes)
	s.in.group.mu.Unlock()
	for range n << 10 / rowBytes {
		s.writeLine("ROW %s", row)
	}
	s.in.group.mu.Lock()
	return s.writeDone()
}
