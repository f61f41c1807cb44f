package link

import (
	"sync"
	"time"
)

// peers bounds the sessions and streams that other hosts open.
type peers struct {
	// onClosed, if set, is called for each session that is closed or refused because of a limit.
	onClosed func()

	mu     sync.Mutex
	opened map[*muxSession]time.Time
}

// add records a session. If there are limit already, the one that has been without a stream for longest is
// closed: a host that is one keeps streams open. It returns false if all have streams; zero means no limit.
func (p *peers) add(now time.Time, session *muxSession, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && len(p.opened) >= limit {
		p.countClosed()
		var oldest *muxSession
		for other, since := range p.opened {
			if other.mux.NumStreams() == 0 && (oldest == nil || since.Before(p.opened[oldest])) {
				oldest = other
			}
		}
		if oldest == nil {
			return false
		}
		delete(p.opened, oldest)
		go oldest.Close()
	}
	if p.opened == nil {
		p.opened = map[*muxSession]time.Time{}
	}
	p.opened[session] = now
	return true
}

// countClosed reports that a session is closed.
func (p *peers) countClosed() {
	if p.onClosed != nil {
		p.onClosed()
	}
}

// remove forgets a session.
func (p *peers) remove(session *muxSession) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.opened, session)
}

// hasRoom is called for a new stream of a session. If all sessions together have more than limit, the one that
// has most is closed. It returns false if that is this session, or if it was closed before; zero means no limit.
func (p *peers) hasRoom(session *muxSession, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit == 0 {
		return true
	}
	var largest *muxSession
	total, most := 0, 0
	for other := range p.opened {
		n := other.mux.NumStreams()
		if total += n; largest == nil || n > most {
			largest, most = other, n
		}
	}
	if total > limit {
		delete(p.opened, largest)
		go largest.Close()
		p.countClosed()
	}
	_, ok := p.opened[session]
	return ok
}
