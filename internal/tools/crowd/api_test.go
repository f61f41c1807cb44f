package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// apiCrowd is the number of connections of a crowd to a listener that serves HTTP.
const apiCrowd = maxFiles + 200

// checkAPI checks that operators and the load balancer are answered too.
func (d *deployment) checkAPI() {
	d.t.Helper()
	d.declare(context.Background(), 2)
	eventually(d.t, answerTimeout, d.readyOK)
	d.check()
}

// post sends a request with a body, and reads its response.
func post(ctx context.Context, url string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Close = true
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// TestLargeDeclarations plays operators that send large declarations at once.
func TestLargeDeclarations(t *testing.T) {
	for name, body := range map[string][]byte{
		"that declare nothing": []byte(`{"version":9,"junk":"` + strings.Repeat("j", 15<<20) + `"}`),
		"that cannot be read":  bytes.Repeat([]byte("["), 15<<20),
		"that are too large":   bytes.Repeat([]byte(" "), 40<<20),
	} {
		scene(t, "of operators that send large declarations "+name, func(d *deployment) {
			crowd(24, func(ctx context.Context, _ int) { post(ctx, "http://"+d.api+"/config/replace", body) })
			d.checkAPI()
		})
	}
}

// TestBodiesWithoutEnd plays clients of the control API that send bodies without an end.
func TestBodiesWithoutEnd(t *testing.T) {
	for _, path := range []string{"/config/replace", "/instances/i-9/heartbeat", "/instances/i-9/deregister"} {
		scene(t, "that sends bodies without end to "+path, func(d *deployment) {
			var left kept
			defer left.close()
			crowd(members, func(ctx context.Context, _ int) {
				c, err := dial(ctx, d.api)
				if err != nil {
					return
				}
				left.add(c)
				_ = sendPieces(ctx, c, []byte("POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"), 1<<10)
				chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", 1<<20, strings.Repeat(" ", 1<<20)))
				for range 8 {
					if sendPieces(ctx, c, chunk, 1<<20) != nil {
						return
					}
				}
			})
			d.checkAPI()
		})
	}
}

// TestSlowRequests plays clients that send the header of a request a byte a second, or nothing, in numbers
// beyond the descriptors.
func TestSlowRequests(t *testing.T) {
	listeners := map[string]func(d *deployment) string{
		"the control API":     func(d *deployment) string { return d.api },
		"the readiness check": func(d *deployment) string { return d.ready },
	}
	for name, addr := range listeners {
		scene(t, "that sends headers slowly to "+name, func(d *deployment) {
			var left kept
			defer left.close()
			crowd(apiCrowd, func(ctx context.Context, i int) {
				c, err := dial(ctx, addr(d))
				if err != nil {
					return
				}
				left.add(c)
				head := []byte("GET /readyz HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 100))
				if i%2 == 0 {
					return
				}
				dribble(ctx, func() error {
					_, err := c.Write(head[:1])
					head = head[1:]
					return err
				})
			})
			d.checkAPI()
		})
	}
	scene(t, "of connections to the control API that are reset", func(d *deployment) {
		for range 3 {
			crowd(apiCrowd, func(ctx context.Context, _ int) {
				if c, err := dial(ctx, d.api); err == nil {
					_, _ = c.Write([]byte("POST /config/replace HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{"))
					_ = c.(*net.TCPConn).SetLinger(0)
					c.Close()
				}
			})
		}
		d.checkAPI()
	})
}

// TestInventedInstances plays announcements of thousands of instances that do not exist.
func TestInventedInstances(t *testing.T) {
	scene(t, "that announces instances that do not exist", func(d *deployment) {
		crowd(16, func(ctx context.Context, i int) {
			for j := 0; j < 200 && ctx.Err() == nil; j++ {
				body := fmt.Sprintf(`{"service":"%s","addr":"127.0.0.1:1","zone":"%s","version":"v","slots":2,"state":"ready","db_role":"replica","seq":1,"born":%d}`,
					groupName, strings.Repeat("z", 100), time.Now().UnixMilli())
				_ = mimic.Post(ctx, fmt.Sprintf("http://%s/instances/x-%d-%d/heartbeat", d.api, i, j), []byte(body))
			}
		})
		d.checkAPI()
	})
}
