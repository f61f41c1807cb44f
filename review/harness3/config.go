package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["explore-config"] = exploreConfig }

// large returns a desired state with padding in its routes.
func large(version, size int) []byte {
	var d map[string]any
	_ = json.Unmarshal(desired(version, 0, 800, 200, "huvo11a"), &d)
	d["version"] = version
	routes := d["routes"].([]any)
	for i := 0; len(routes)*250 < size; i++ {
		host := fmt.Sprintf("pad%x%d", version*7919+i*104729, i)
		routes = append(routes, map[string]any{"name": "r-" + host, "host": host, "path_prefix": "/", "type": "primary", "timeout_ms": 800, "target_latency_ms": 100, "prio": 1, "service": "huvo11a", "max_attempts": 2, "padding": fmt.Sprintf("%0100x", rand.Uint64())})
	}
	d["routes"] = routes
	b, _ := json.Marshal(d)
	return b
}

// get returns the status of a read of the desired state, and its version.
func get(url string) (int, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	var v struct{ Version int }
	if err != nil || resp.StatusCode != 200 || json.Unmarshal(b, &v) != nil {
		return resp.StatusCode, 0
	}
	return 200, v.Version
}

// exploreConfig sends large desired states at a high rate while control hosts fail: SEED, CORE, SIZE, LENGTH.
func exploreConfig(rec *recorder, trouble bool) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 17))
	n := 5
	if v := os.Getenv("CORE"); v != "" {
		n, _ = strconv.Atoi(v)
	}
	size := 200_000
	if v := os.Getenv("SIZE"); v != "" {
		size, _ = strconv.Atoi(v)
	}
	c := newCluster(rec, n, 1)
	defer c.shutdown()
	c.groups["huvo11a"] = newGroup(rec, "huvo11a", 0)
	c.config = func(v int) []byte { return large(v, size) }
	if err := c.run(func() {}); err != nil {
		fail(err)
	}
	time.Sleep(3 * time.Second)
	var acked, sent, refused, reads atomic.Int64
	type ack struct {
		v  int
		at time.Time
	}
	var mu sync.Mutex
	var acks []ack
	var version atomic.Int64
	version.Store(int64(c.version))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	send := func(v int) bool {
		body := large(v, size)
		for range 40 {
			for _, i := range rand.Perm(len(c.control)) {
				status, text := post(context.Background(), "http://"+c.control[i].ip+":8782/config/replace", body)
				if status == 200 {
					mu.Lock()
					acks = append(acks, ack{v, time.Now()})
					mu.Unlock()
					acked.Add(1)
					return true
				}
				if status/100 == 4 {
					refused.Add(1)
					rec.broken("CONFIG: valid version %d is refused with %d %s", v, status, text)
					return false
				}
			}
			select {
			case <-stop:
				return false
			case <-time.After(100 * time.Millisecond):
			}
		}
		return false
	}
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				send(int(version.Add(int64(1 + rand.IntN(3)))))
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		}()
	}
	floor := func(before time.Time) int {
		mu.Lock()
		defer mu.Unlock()
		f := 0
		for _, a := range acks {
			if a.at.Before(before) {
				f = max(f, a.v)
			}
		}
		return f
	}
	for range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				need := floor(time.Now().Add(-3 * time.Second))
				h := c.control[rand.IntN(len(c.control))]
				status, v := get("http://" + h.ip + ":8782/config/get")
				if status == 200 {
					reads.Add(1)
					if v < need {
						rec.broken("CONFIG: %s answers version %d, %d was acknowledged over 3 s before the read", h.name, v, need)
					}
				}
				time.Sleep(30 * time.Millisecond)
			}
		}()
	}
	length := 45 * time.Second
	if v := os.Getenv("LENGTH"); v != "" {
		length, _ = time.ParseDuration(v)
	}
	var later sync.WaitGroup
	after := func(d time.Duration, f func()) {
		later.Add(1)
		go func() { defer later.Done(); time.Sleep(d); f() }()
	}
	var lost sync.Mutex
	losses := 0
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
		if !trouble {
			continue
		}
		d := time.Duration(100+rng.IntN(2500)) * time.Millisecond
		h := c.control[rng.IntN(len(c.control))]
		lose := func() bool {
			lost.Lock()
			defer lost.Unlock()
			if losses >= (n-1)/2 {
				return false
			}
			losses++
			return true
		}
		back := func(d time.Duration) {
			after(d+4*time.Second, func() { lost.Lock(); losses--; lost.Unlock() })
		}
		switch rng.IntN(6) {
		case 0, 1:
			if lose() {
				h.signal(syscall.SIGSTOP)
				after(d, func() { h.signal(syscall.SIGCONT) })
				back(d)
			}
		case 2:
			if lose() {
				h.stop()
				after(d, h.up)
				back(d)
			}
		case 3:
			if lose() {
				h.stop()
				rec.note("host %s loses its disk", h.name)
				time.Sleep(30 * time.Millisecond)
				os.RemoveAll(filepath.Join(c.dir, h.name))
				_ = os.MkdirAll(filepath.Join(c.dir, h.name), 0o700)
				after(d, h.up)
				back(d)
			}
		case 4:
			if lose() {
				after(0, h.terminate)
				back(6 * time.Second)
			}
		case 5:
			if rng.IntN(3) == 0 {
				for _, h := range c.control {
					h.signal(syscall.SIGKILL)
				}
			}
		}
	}
	later.Wait()
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	need := floor(time.Now())
	time.Sleep(time.Second)
	got := 0
	for range 50 {
		for _, h := range c.control {
			if status, v := get("http://" + h.ip + ":8782/config/get"); status == 200 {
				got = max(got, v)
			}
		}
		if got >= need {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if got < need {
		rec.broken("CONFIG: read back at the end: %d, %d was acknowledged", got, need)
	}
	if !send(int(version.Add(1))) {
		rec.broken("CONFIG: no desired state is acknowledged at the end")
	}
	line := fmt.Sprintf("%d sent, %d acknowledged, %d reads", sent.Load(), acked.Load(), reads.Load())
	rec.note("%s", line)
	fmt.Println(line)
	panics(c)
}

// panics reports processes that ended by a panic.
func panics(c *cluster) {
	for _, h := range c.all() {
		b, err := os.ReadFile(filepath.Join(c.dir, h.name+".log"))
		if err != nil {
			continue
		}
		if i := strings.Index(string(b), "panic:"); i >= 0 {
			c.rec.broken("Fault: %s panics: %.400s", h.name, string(b[i:]))
		}
		if i := strings.Index(string(b), "fatal error:"); i >= 0 {
			c.rec.broken("Fault: %s ends: %.400s", h.name, string(b[i:]))
		}
	}
}
