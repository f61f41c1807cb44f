package retry_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/retry"
)

func TestBudget(t *testing.T) {
	Convey("Retries are limited to a ratio of the requests once the initial budget is spent", t, func() {
		b := retry.Budget{Ratio: 0.2, Max: 10}
		retries := 0
		for range 1000 {
			b.Deposit()
			if b.TryWithdraw() {
				retries++
			}
		}
		So(retries, ShouldBeBetween, 200, 211)
	})
}

func TestBackoff(t *testing.T) {
	Convey("Delays double up to the maximum, with jitter", t, func() {
		shortest := retry.Backoff{Initial: 10 * time.Millisecond, Max: 80 * time.Millisecond, Jitter: func(time.Duration) time.Duration { return 0 }}
		longest := shortest
		longest.Jitter = func(n time.Duration) time.Duration { return n - 1 }
		var low, high []time.Duration
		for n := range 5 {
			low = append(low, shortest.Delay(n)/time.Millisecond)
			high = append(high, longest.Delay(n)/time.Millisecond)
		}
		So(low, ShouldResemble, []time.Duration{5, 10, 20, 40, 40})
		So(high, ShouldResemble, []time.Duration{10, 20, 40, 80, 80})
		So(longest.Delay(1000), ShouldEqual, 80*time.Millisecond)
	})
}
