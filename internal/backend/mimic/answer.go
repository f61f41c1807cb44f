package mimic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// stutterBytes is the size up to which an answer is sent a second time.
const stutterBytes = 256 << 10

// Stutter is an injected fault: answers to statements are sent a second time.
type Stutter struct {
	// Share is the share of the answers that are sent a second time.
	Share float64
	// MaxDelay limits how long after an answer the second one is sent. Half of them come within an eighth of it.
	MaxDelay time.Duration
}

// SetStutter sets which answers are sent a second time from now on; the seed determines the draws.
func (in *Instance) SetStutter(st Stutter, seed uint64) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	in.stutter, in.stutterRNG = st, rand.New(rand.NewPCG(seed, 0))
}

// SecondAnswers returns the number of answers that were sent a second time.
func (in *Instance) SecondAnswers() int { return int(in.secondAnswers.Load()) }

// drawStutter draws whether an answer is sent a second time, and after which delay.
func (in *Instance) drawStutter() (time.Duration, bool) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	if in.stutter.Share <= 0 || in.stutterRNG.Float64() >= in.stutter.Share {
		return 0, false
	}
	x := in.stutterRNG.Float64()
	return time.Duration(x * x * x * float64(in.stutter.MaxDelay)), true
}

// refusals are the errors that say that a statement did not run.
var refusals = []string{"ERR BUSY", "ERR LAGGING", "ERR RDONLY", "ERR NOSTMT"}

// writeLine sends a line of the present answer. No other answer is sent before endAnswer is called.
func (s *session) writeLine(format string, args ...any) {
	if !s.answering {
		s.out.Lock()
		s.answering, s.answer = true, s.answer[:0]
	}
	line := fmt.Sprintf(format, args...)
	s.refused = s.refused || slices.ContainsFunc(refusals, func(code string) bool { return strings.HasPrefix(line, code) })
	if len(s.answer) <= stutterBytes {
		s.answer = append(append(s.answer, line...), lineEnd...)
	}
	_, _ = s.w.WriteString(line + lineEnd)
	s.w.Flush()
}

// endAnswer ends the present answer, if there is one.
func (s *session) endAnswer() {
	if s.answering {
		s.answering = false
		s.out.Unlock()
	}
}

// stutter sends the answer that ended last a second time, now or later, if that is drawn.
func (s *session) stutter() {
	delay, ok := s.in.drawStutter()
	if !ok || len(s.answer) > stutterBytes {
		return
	}
	b := slices.Clone(s.answer)
	time.AfterFunc(delay, func() {
		s.out.Lock()
		defer s.out.Unlock()
		_, _ = s.w.Write(b)
		if s.w.Flush() == nil {
			s.in.secondAnswers.Add(1)
		}
	})
}

// writeReady sends the transaction state and the applied position. The caller holds the group's
// mu.
func (s *session) writeReady() {
	txState := "I"
	switch {
	case s.txFailed:
		txState = "E"
	case s.inTx:
		txState = "T"
	}
	_, position := s.in.applied(time.Now())
	s.writeLine("READY %s %s", txState, position)
}

// writeError sends an error code and marks an open transaction as failed. It returns true, as the
// connection stays open.
func (s *session) writeError(code string) bool {
	s.txFailed = s.inTx
	s.writeLine("ERR %s %s", code, s.in.Name)
	s.writeReady()
	return true
}

// writeRow sends a row of the present answer.
func (s *session) writeRow(row string) {
	s.rows = append(s.rows, row)
	s.writeLine("ROW %s", row)
}

// writeDone sends the response that ends a successful statement, with a proof of this execution. It
// returns true, as the connection stays open.
func (s *session) writeDone() bool {
	s.proof = fmt.Sprintf("%s.%d", s.in.Name, s.in.proofs.Add(1))
	s.writeLine("DONE %s", s.proof)
	s.writeReady()
	return true
}
