package mimic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// callLimit bounds a call to a control host.
const callLimit = time.Second

// Announce sends heartbeats of an instance to control hosts until ctx ends or the instance
// does; the end is reported on the channel.
func (in *Instance) Announce(ctx context.Context, control []string, every time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		for seq := 1; ctx.Err() == nil && in.running(); seq++ {
			in.beat(ctx, control, seq)
			select {
			case <-ctx.Done():
			case <-time.After(every):
			}
		}
		done <- nil
	}()
	return done
}

func (in *Instance) running() bool {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	return !in.down
}

func (in *Instance) beat(ctx context.Context, control []string, seq int) {
	role := "replica"
	if in.group.Leader() == in.Name {
		role = "primary"
	}
	addr := in.Addr
	if in.Public != "" {
		addr = in.Public
	}
	b, err := json.Marshal(map[string]any{
		"service": in.group.Name, "addr": addr, "zone": in.Zone, "version": "v1", "slots": 2, "state": "ready",
		"cold_left_ms": 0, "db_role": role, "seq": seq, "born": in.born,
	})
	if err != nil {
		return
	}
	for _, addr := range control {
		if Post(ctx, "http://"+addr+"/instances/"+in.Name+"/heartbeat", b) == nil {
			return
		}
	}
}

// Post sends a body and reports an error unless the answer is a good one.
func Post(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %d", url, resp.StatusCode)
	}
	return nil
}

// Cloud serves the platform's own calls for a group.
type Cloud struct {
	Addr string
	srv  *http.Server
}

// StartCloud serves promotions of a group at addr. With silent set, each second call is
// carried out and its answer is lost.
func StartCloud(g *Group, addr string, silent bool) (*Cloud, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	calls := 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		calls++
		var body struct{ Service, ID string }
		fence, err := strconv.ParseUint(r.Header.Get("X-Agatespindle-Fence-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != g.Name {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ok := g.Promote(body.ID, fence)
		if silent && calls%2 == 1 {
			<-r.Context().Done()
			return
		}
		if !ok {
			w.WriteHeader(http.StatusConflict)
		}
	})
	c := &Cloud{Addr: ln.Addr().String(), srv: &http.Server{Handler: mux, ReadHeaderTimeout: callLimit}}
	go func() { _ = c.srv.Serve(ln) }()
	return c, nil
}

// Close ends the service.
func (c *Cloud) Close() { _ = c.srv.Close() }
