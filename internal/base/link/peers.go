package link

import (
	"sync"
	"time"
)

// peers bounds the sessions and streams that other hosts open.
type peers struct {
	mu      sync.Mutex
	opened  map[*muxSession]time.Time
	streams int
}

// add records a session. If there are limit already, the one that has been without a stream for longest is
// closed: a host that is one keeps streams open. It returns false if all have streams; zero means no limit.
func (p *peers) add(now time.Time, session *muxSession, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && len(p.opened) >= limit {
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

// remove forgets a session.
func (p *peers) remove(session *muxSession) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.opened, session)
}

// begin counts a stream. It returns false if there are limit already; zero means no limit.
func (p *peers) begin(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit > 0 && p.streams >= limit {
		return false
	}
	p.streams++
	return true
}

// end ends a stream that begin has counted.
func (p *peers) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams--
}
