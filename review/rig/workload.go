package rig

import (
	"fmt"
	"sync"
	"time"
)

// Commit is a commit whose client got a success.
type Commit struct{ ID, MAC string }

// Workload is a number of clients that run transactions of two writes, with a pause before the commit.
type Workload struct {
	Rig      *Rig
	Database string
	Clients  int
	// Pause is how long a client rests in its transaction before it commits.
	Pause time.Duration

	// wrote gets a value when the first client has done both writes of a transaction, where somebody
	// waits for it.
	wrote   chan struct{}
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	commits []Commit
}

// Start starts the clients. They use the entry hosts in turn.
func (w *Workload) Start() {
	w.wrote, w.stop = make(chan struct{}), make(chan struct{})
	entries := w.Rig.Entries()
	for i := range w.Clients {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			c := &client{load: w, number: i, front: entries[i%len(entries)].Front()}
			c.run()
		}()
	}
}

// AwaitWrites waits until the first client rests in its transaction.
func (w *Workload) AwaitWrites() { <-w.wrote }

// Stop ends the clients and returns the commits that were acknowledged to them.
func (w *Workload) Stop() []Commit {
	close(w.stop)
	w.wg.Wait()
	return w.commits
}

// Lost returns a line for each commit that is missing in the log of the group's present primary.
func (g *Group) Lost(commits []Commit) []string {
	var broken []string
	id, _ := g.Primary()
	for _, c := range commits {
		if !g.Has(c.ID) {
			broken = append(broken, fmt.Sprintf("LOST: commit %s, acknowledged to its client with MAC %s, isn't in the log of the promoted instance %s", c.ID, c.MAC, id))
		}
	}
	return broken
}

// client is one client of a workload.
type client struct {
	load   *Workload
	number int
	front  string
	conn   *Client
}

func (c *client) run() {
	for i := 0; ; i++ {
		select {
		case <-c.load.stop:
			if c.conn != nil {
				c.conn.Close()
			}
			return
		default:
		}
		if !c.connect() || !c.transaction(i) {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// connect opens a session unless there is one.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	conn, err := Connect(c.front, c.load.Database, nil)
	if err != nil {
		c.load.Rig.Logf("client %d: %s", c.number, err)
		return false
	}
	c.conn = conn
	return true
}

// transaction runs one transaction. After an error it ends the session.
func (c *client) transaction(i int) bool {
	texts := []string{"BEGIN", fmt.Sprintf("WRITE k%d v%d", c.number, i), fmt.Sprintf("WRITE l%d v%d", c.number, i), "COMMIT"}
	for _, text := range texts {
		if text == "COMMIT" {
			c.rest()
		}
		id := NewID()
		a := c.conn.Query(id, text, 3*time.Second)
		c.load.Rig.Logf("client %d: %s %s -> %s", c.number, id, text, a)
		if !a.Done {
			c.conn.Close()
			c.conn = nil
			return false
		}
		if text == "COMMIT" {
			c.load.mu.Lock()
			c.load.commits = append(c.load.commits, Commit{id, a.MAC})
			c.load.mu.Unlock()
		}
	}
	return true
}

// rest pauses before a commit.
func (c *client) rest() {
	if c.number == 0 {
		select {
		case c.load.wrote <- struct{}{}:
		default:
		}
	}
	time.Sleep(c.load.Pause)
}
