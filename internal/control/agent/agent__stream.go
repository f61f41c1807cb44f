package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/link"
	"github.com/agatespindle/agatespindle/internal/control/leader"
)

// nextControlAddr returns the control host to try: the leader if one was named, else the next of
// all known ones.
func (a *Agent) nextControlAddr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader != "" {
		return a.leader
	}
	all := slices.Clone(a.knownControlAddrs)
	for _, p := range a.Peers {
		if !slices.Contains(all, p.LinkAddr) {
			all = append(all, p.LinkAddr)
		}
	}
	a.nextPeer++
	attempt := a.nextPeer
	if slices.Contains(all, a.Registration.GetLink()) {
		// A control host tries itself every other time: it learns of a new leader itself sooner
		// than it would find one among hosts that may be down.
		if attempt%2 == 0 {
			return a.Registration.GetLink()
		}
		attempt /= 2
	}
	return all[attempt%len(all)]
}

// inFirstRound reports whether this host has not yet asked as many control hosts as its settings name.
// After a restart of all hosts, some of them may have lost their disks and know no leader.
func (a *Agent) inFirstRound() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nextPeer < len(a.Peers)
}

func (a *Agent) setLeader(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = addr
}

// streamTarget returns the address and service for the next lease stream: a relay to a leader that
// did not answer, any relay after every second failure in a row, and a control host otherwise.
func (a *Agent) streamTarget() (addr, service string) {
	a.mu.Lock()
	if via := a.relayVia; via != "" {
		a.relayVia = ""
		a.mu.Unlock()
		return via, RelayService
	}
	useRelay := a.failures > 0 && a.failures%2 == 0
	a.mu.Unlock()
	if useRelay && a.Relays != nil {
		if list := a.Relays(); len(list) > 0 {
			return list[rand.IntN(len(list))], RelayService
		}
	}
	return a.nextControlAddr(), leader.LeaseService
}

// openedStream is the result of opening a lease stream to the service at addr.
type openedStream struct {
	addr, service string
	conn          *link.Conn
	err           error
}

// openStream opens a lease stream to the next target. While there is no answer, it asks further targets,
// one every openPatience, and returns the first stream that opens: a host that is down does not
// answer at all. It returns the last error if none opens.
func (a *Agent) openStream(ctx context.Context) openedStream {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan openedStream, maxConcurrentOpens)
	pending, started := 0, 0
	start := func() {
		addr, service := a.streamTarget()
		pending++
		started++
		go func() {
			c, err := a.Dialer.Open(ctx, addr, service)
			results <- openedStream{addr, service, c, err}
		}()
	}
	defer func() {
		cancel()
		go closeStreams(results, pending)
	}()
	tick := time.NewTicker(openPatience)
	defer tick.Stop()
	start()
	for {
		select {
		case opened := <-results:
			pending--
			if opened.err == nil {
				return opened
			}
			a.recordOpenFailure(opened)
			if pending == 0 {
				return opened
			}
		case <-tick.C:
			if started < maxConcurrentOpens {
				// The named leader, if any, is the one that does not answer.
				a.setLeader("")
				start()
			}
		}
	}
}

// closeStreams closes the streams among the next n results, which are no longer needed.
func closeStreams(results <-chan openedStream, n int) {
	for range n {
		if opened := <-results; opened.err == nil {
			opened.conn.Close()
		}
	}
}

// recordStream records the control host of a new lease stream and discards renewals of the
// previous one that are still unanswered.
func (a *Agent) recordStream(addr, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hostLease.ForgetPending()
	a.controlAddr = ""
	if service == leader.LeaseService {
		a.controlAddr = addr
	}
}

// recordOpenFailure records a stream that could not be opened. A host that refuses the connection can be
// reached: it is starting.
func (a *Agent) recordOpenFailure(opened openedStream) {
	if errors.Is(opened.err, syscall.ECONNREFUSED) {
		a.recordFailure()
		return
	}
	a.recordUnanswered(opened.addr, opened.service)
}

// recordUnanswered records a stream that could not be opened or that stopped delivering answers.
func (a *Agent) recordUnanswered(addr, service string) {
	if service == leader.LeaseService {
		a.mu.Lock()
		a.unansweredAddr, a.unansweredAt = addr, a.Now()
		a.mu.Unlock()
	}
	a.recordFailure()
}

// recordFailure counts a failed stream and forgets the named leader, so that other control hosts
// are tried.
func (a *Agent) recordFailure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = ""
	a.failures++
}

// endedByAnswer reports whether the control host's own answer ended the stream. Its connection
// then works, and other streams use it too, so it is kept.
func endedByAnswer(err error) bool {
	return errors.Is(err, errRedirect) || errors.Is(err, errReplaced) || errors.Is(err, errGap)
}

// followRedirect makes the next stream go to the leader at addr. It goes through the redirecting
// host if that leader left a stream unanswered within leaderRelayPeriod, unless this host has had
// no lease since its start: after a restart of all hosts the leader was down a moment before, and
// no host has a lease to relay with.
func (a *Agent) followRedirect(addr string) error {
	a.setLeader(addr)
	if addr == "" {
		return errReplaced
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if addr == a.unansweredAddr && a.Now().Sub(a.unansweredAt) < leaderRelayPeriod && !a.hostLease.End().IsZero() {
		a.relayVia = a.controlAddr
	}
	return errRedirect
}
