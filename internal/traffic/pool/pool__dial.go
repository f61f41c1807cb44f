package pool

import (
	"bufio"
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// dialForWaiting starts to open connections for the waiters, within the limits. The caller holds mu.
func (s *Server) dialForWaiting(now time.Time) {
	for s.dialing < min(len(s.waiting), maxConcurrentDials) && s.open+s.dialing < s.maxConnsNow(now) && !now.Before(s.connLimitUntil) {
		s.dialing++
		go s.dial()
	}
}

// maxConnsNow returns how many connections this host may currently have: only its share for a
// period after its start. The caller holds mu.
func (s *Server) maxConnsNow(now time.Time) int {
	if now.Before(s.shareOnlyUntil) {
		return min(max(1, s.share), s.maxConns)
	}
	return s.maxConns
}

// dial opens a connection for the first waiter or as an idle one.
func (s *Server) dial() {
	c, code, err := s.connect()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	switch {
	case err != nil:
		s.markUnreachable(now, err)
	case code != flow.OK:
		s.connRefused(now, code)
	default:
		s.markReachable(now)
		s.open++
		s.assign(now, c)
		s.dialForWaiting(now)
	}
}

// connect opens one connection. If err is nil, a code other than flow.OK is the instance's reason to
// refuse it.
func (s *Server) connect() (*Conn, flow.Code, error) {
	s.Meter.AddCounter("connections.opened", 1)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := s.Dial(ctx, s.Addr)
	if err != nil {
		return nil, flow.OK, err
	}
	setTCPOptions(raw)
	c := &Conn{raw: raw, r: bufio.NewReaderSize(raw, readBufferSize), server: s}
	_ = raw.SetDeadline(time.Now().Add(dialTimeout))
	if _, err = raw.Write(s.Codec.AppendStartup(nil, s.Group, s.Instance)); err != nil {
		raw.Close()
		return nil, flow.OK, err
	}
	a, err := s.Codec.ReadStartupAnswer(c.r)
	if err != nil || a.Code != flow.OK {
		raw.Close()
		return nil, a.Code, err
	}
	return c, flow.OK, nil
}

// assign gives a connection to the first waiter. Without waiters it keeps the connection idle, or
// closes it if the host may only use its share and has more. The caller holds mu.
func (s *Server) assign(now time.Time, c *Conn) {
	if s.closed {
		c.raw.Close()
		s.open--
		return
	}
	if len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		w.done <- connResult{conn: c}
		return
	}
	if s.open > s.share && now.Before(s.shareOnlyUntil) {
		c.raw.Close()
		s.open--
		return
	}
	c.idleSince = now
	s.idle = append(s.idle, c)
}

// connRefused handles a connection that the instance refused. At its connection limit the instance
// still counts as reachable. The caller holds mu.
func (s *Server) connRefused(now time.Time, code flow.Code) {
	s.Meter.AddCounter("connections.refused."+code.String(), 1)
	if code == flow.TooMany {
		s.markReachable(now)
		s.connLimitUntil = now.Add(connLimitPause)
		if s.open == 0 {
			s.failWaiters(s.connLimitError())
		}
		return
	}
	s.markUnreachable(now, fault.New(fault.NotRun, fault.NoBackend, "instance %s refused the connection: %s", s.Instance, code))
}

// markReachable records that the instance answered. The caller holds mu.
func (s *Server) markReachable(now time.Time) {
	if s.down {
		s.Log.WithField("instance", s.Instance).WithField("group", s.Group).WithField("after", now.Sub(s.failingSince).String()).Info("instance is reachable again")
	}
	s.down = false
	s.lastAnswer = now
	s.failingSince = time.Time{}
}

// markUnreachable records a failed attempt to open a connection: it fails all waiters and probes the
// instance in the background. The caller holds mu.
func (s *Server) markUnreachable(now time.Time, err error) {
	if !s.down {
		s.Log.WithField("instance", s.Instance).WithField("group", s.Group).WithField("error", err.Error()).Info("instance is unreachable")
	}
	s.Meter.AddCounter("connections.failed", 1)
	if !s.down && s.OnUnreachable != nil {
		go s.OnUnreachable()
	}
	s.down = true
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
	s.failWaiters(s.unreachableError())
	s.startProbing()
}

// connBroken records a failed connection at the time now, and probes the instance in the
// background. The caller holds mu.
func (s *Server) connBroken(now time.Time) {
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
	s.startProbing()
}

// failWaiters ends all waits with an error. The caller holds mu.
func (s *Server) failWaiters(err error) {
	for _, w := range s.waiting {
		w.done <- connResult{err: err}
	}
	s.waiting = nil
}

// startProbing tries to reach the instance in the background until that succeeds. The caller
// holds mu.
func (s *Server) startProbing() {
	if s.probing || s.closed {
		return
	}
	s.probing = true
	go func() {
		for s.probeOnce() {
			time.Sleep(probeInterval)
		}
	}()
}

// probeOnce tries to open a connection and reports whether another attempt is needed.
func (s *Server) probeOnce() bool {
	c, code, err := s.connect()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	again := false
	switch {
	case s.closed:
		if c != nil {
			c.raw.Close()
		}
	case err != nil:
		s.markUnreachable(now, err)
		again = true
	case code != flow.OK && code != flow.TooMany:
		s.connRefused(now, code)
		again = true
	default:
		s.markReachable(now)
		if c != nil {
			s.open++
			s.assign(now, c)
		}
	}
	s.probing = again
	return again
}
