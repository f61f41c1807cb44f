package pool

import (
	"bufio"
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// dialForWaiters opens connections for those that wait, as far as the instance has room. The caller
// holds mu.
func (s *Server) dialForWaiters(now time.Time) {
	for s.dialing < min(len(s.waiting), maxConcurrentDials) && s.open+s.dialing < s.connLimit(now) && !now.Before(s.connLimitUntil) {
		s.dialing++
		go s.dial()
	}
}

// connLimit returns how many connections this host may have. The caller holds mu.
func (s *Server) connLimit(now time.Time) int {
	if now.Before(s.shareOnlyUntil) {
		return min(max(1, s.share), s.maxConns)
	}
	return s.maxConns
}

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
		s.dialForWaiters(now)
	}
}

// connect opens one connection. A code other than OK is the instance's refusal.
func (s *Server) connect() (*Conn, flow.Code, error) {
	s.Meter.Add("connections.opened", 1)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := s.Dial(ctx, s.Addr)
	if err != nil {
		return nil, flow.OK, err
	}
	setTCPOptions(raw)
	c := &Conn{raw: raw, r: bufio.NewReaderSize(raw, readBufferSize), server: s}
	_ = raw.SetDeadline(time.Now().Add(dialTimeout))
	if _, err = raw.Write(s.Codec.Greet(nil, s.Group, s.Instance)); err != nil {
		raw.Close()
		return nil, flow.OK, err
	}
	a, err := s.Codec.Welcome(c.r)
	if err != nil || a.Code != flow.OK {
		raw.Close()
		return nil, a.Code, err
	}
	return c, flow.OK, nil
}

// assign passes a connection to the first that waits, or keeps it. The caller holds mu.
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

// connRefused takes note of a connection that the instance did not accept. The caller holds mu.
func (s *Server) connRefused(now time.Time, code flow.Code) {
	s.Meter.Add("connections.refused."+code.String(), 1)
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

func (s *Server) markReachable(now time.Time) {
	if s.down {
		s.Log.WithField("instance", s.Instance).WithField("group", s.Group).WithField("after", now.Sub(s.failingSince).String()).Info("instance reached again")
	}
	s.down = false
	s.lastAnswer = now
	s.failingSince = time.Time{}
}

// markUnreachable takes note of an instance that could not be reached: nobody waits for it, and it is
// tried again in the background. The caller holds mu.
func (s *Server) markUnreachable(now time.Time, err error) {
	if !s.down {
		s.Log.WithField("instance", s.Instance).WithField("group", s.Group).WithField("error", err.Error()).Info("instance not reached")
	}
	s.Meter.Add("connections.failed", 1)
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

// connBroken takes note of a connection that broke. The caller holds mu.
func (s *Server) connBroken(now time.Time) {
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
	s.startProbing()
}

func (s *Server) failWaiters(err error) {
	for _, w := range s.waiting {
		w.done <- connResult{err: err}
	}
	s.waiting = nil
}

// startProbing tries to reach the instance until that succeeds. The caller holds mu.
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

// probeOnce reports whether another try is due.
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
