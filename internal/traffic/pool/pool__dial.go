package pool

import (
	"bufio"
	"context"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/fault"
	"github.com/agatespindle/agatespindle/internal/traffic/flow"
)

// extend opens connections for those that wait, as far as the instance has room. The caller
// holds mu.
func (s *Server) extend(now time.Time) {
	for s.dialing < min(len(s.waiting), dialsAtOnce) && s.open+s.dialing < s.room(now) && !now.Before(s.full) {
		s.dialing++
		go s.dial()
	}
}

// room returns how many connections this host may have. The caller holds mu.
func (s *Server) room(now time.Time) int {
	if now.Before(s.scarce) {
		return min(max(1, s.share), s.limit)
	}
	return s.limit
}

func (s *Server) dial() {
	c, code, err := s.connect()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	switch {
	case err != nil:
		s.fail(now, err)
	case code != flow.OK:
		s.refused(now, code)
	default:
		s.reached(now)
		s.open++
		s.hand(now, c)
		s.extend(now)
	}
}

// connect opens one connection. A code other than OK is the instance's refusal.
func (s *Server) connect() (*Conn, flow.Code, error) {
	s.Meter.AddCounter("connections.opened", 1)
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	raw, err := s.Dial(ctx, s.Addr)
	if err != nil {
		return nil, flow.OK, err
	}
	harden(raw)
	c := &Conn{raw: raw, r: bufio.NewReaderSize(raw, readBuffer), server: s}
	_ = raw.SetDeadline(time.Now().Add(dialLimit))
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

// hand passes a connection to the first that waits, or keeps it. The caller holds mu.
func (s *Server) hand(now time.Time, c *Conn) {
	if s.closed {
		c.raw.Close()
		s.open--
		return
	}
	if len(s.waiting) > 0 {
		w := s.waiting[0]
		s.waiting = s.waiting[1:]
		w.got <- result{conn: c}
		return
	}
	if s.open > s.share && now.Before(s.scarce) {
		c.raw.Close()
		s.open--
		return
	}
	c.parked = now
	s.idle = append(s.idle, c)
}

// refused takes note of a connection that the instance did not accept. The caller holds mu.
func (s *Server) refused(now time.Time, code flow.Code) {
	s.Meter.AddCounter("connections.refused."+code.String(), 1)
	if code == flow.TooMany {
		s.reached(now)
		s.full = now.Add(fullPause)
		if s.open == 0 {
			s.release(s.noRoom())
		}
		return
	}
	s.fail(now, fault.New(fault.NotRun, fault.NoBackend, "instance %s refused the connection: %s", s.Instance, code))
}

func (s *Server) reached(now time.Time) {
	if s.down {
		s.Log.WithField("instance", s.Instance).WithField("group", s.Group).WithField("after", now.Sub(s.failed).String()).Info("instance reached again")
	}
	s.down = false
	s.well = now
	s.failed = time.Time{}
}

// fail takes note of an instance that could not be reached: nobody waits for it, and it is
// tried again in the background. The caller holds mu.
func (s *Server) fail(now time.Time, err error) {
	if !s.down {
		s.Log.WithField("instance", s.Instance).WithField("group", s.Group).WithField("error", err.Error()).Info("instance not reached")
	}
	s.Meter.AddCounter("connections.failed", 1)
	if !s.down && s.Lost != nil {
		go s.Lost()
	}
	s.down = true
	if s.failed.IsZero() {
		s.failed = now
	}
	s.release(s.unreachable())
	s.probe()
}

// suspect takes note of a connection that broke. The caller holds mu.
func (s *Server) suspect(now time.Time) {
	if s.failed.IsZero() {
		s.failed = now
	}
	s.probe()
}

func (s *Server) release(err error) {
	for _, w := range s.waiting {
		w.got <- result{err: err}
	}
	s.waiting = nil
}

// probe tries to reach the instance until that succeeds. The caller holds mu.
func (s *Server) probe() {
	if s.probing || s.closed {
		return
	}
	s.probing = true
	go func() {
		for s.probeOnce() {
			time.Sleep(probePause)
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
		s.fail(now, err)
		again = true
	case code != flow.OK && code != flow.TooMany:
		s.refused(now, code)
		again = true
	default:
		s.reached(now)
		if c != nil {
			s.open++
			s.hand(now, c)
		}
	}
	s.probing = again
	return again
}
