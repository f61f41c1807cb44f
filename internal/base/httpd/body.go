package httpd

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/bounds"
)

const (
	// slowBody is how long a body may take to arrive before its client may have to make room for others.
	slowBody = time.Second
	// bodyPart is the number of bytes by which the buffer of a body grows at first.
	bodyPart = 16 << 10
	// BodyCopies is how many times a body is held at once while its request is handled.
	BodyCopies = 4
)

// The errors of Bodies.Read.
var (
	// ErrTooLarge means that a body is over its limit. The request must not be sent again.
	ErrTooLarge = errors.New("body is too large")
	// ErrNoMemory means that the server has no memory for a body now; its request has not run.
	ErrNoMemory = errors.New("server has no memory for the body now")
)

// Bodies reads the bodies of requests within a budget of memory. A nil Budget bounds only each body.
type Bodies struct {
	Budget *bounds.Budget
}

// Read reads the body of a request, of at most limit bytes and no more than the whole budget holds. done must
// be called once the request was handled, also after an error.
func (b Bodies) Read(w http.ResponseWriter, r *http.Request, limit int) (body []byte, done func(), err error) {
	if b.Budget != nil {
		// One byte more is read to tell that a body is too large.
		limit = min(limit, int(b.Budget.Total/BodyCopies)-1)
	}
	ctl := http.NewResponseController(w)
	claim := b.Budget.Open(func() { _ = ctl.SetReadDeadline(time.Now()) })
	fail := func(err error) ([]byte, func(), error) {
		claim.Close()
		// What is left of the body is not read.
		w.Header().Set("Connection", "close")
		return nil, func() {}, err
	}
	if r.ContentLength > int64(limit) {
		return fail(ErrTooLarge)
	}
	started := time.Now()
	for {
		if len(body) == cap(body) {
			next := min(max(2*cap(body), bodyPart), limit+1)
			if len(body) > limit {
				return fail(ErrTooLarge)
			}
			if !claim.Set(bounds.Received, int64(BodyCopies*next)) {
				return fail(ErrNoMemory)
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if time.Since(started) > slowBody {
			claim.SetWithin(false)
		}
		switch {
		case len(body) > limit:
			return fail(ErrTooLarge)
		case errors.Is(err, io.EOF):
			claim.SetWithin(true)
			return body, claim.Close, nil
		case err != nil && claim.Evicted():
			return fail(ErrNoMemory)
		case err != nil:
			return fail(err)
		}
	}
}
