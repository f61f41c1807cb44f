package share_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/control/share"
	"github.com/agatespindle/agatespindle/internal/control/spec"
)

// BenchmarkRenewal measures reports and answers of five hosts on accounts with demand, whose loads change. It
// reports the bytes of a renewal in both directions.
func BenchmarkRenewal(b *testing.B) {
	for _, accounts := range []int{74, 1000, 10000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			tolerance := share.Tolerance{Window: window, Excess: 0.1, Operations: 20}
			var list []spec.Account
			for i := range accounts {
				list = append(list, spec.Account{Name: fmt.Sprintf("account-%05d", i), Rate: 20, Burst: 20})
			}
			a := &share.Allocator{Tolerance: tolerance, LeaderTerm: 1, ElectedAt: now, StandingOnly: true}
			a.SetAccounts(now, list)
			a.SetStanding([]string{"a", "b", "c", "d", "e"})
			var holders []*share.Holder
			for range 5 {
				h := &share.Holder{Tolerance: tolerance}
				h.SetAccounts(now, list)
				holders = append(holders, h)
			}
			bytes, renewals, seq := 0, 0, uint64(0)
			var spent time.Duration
			for round := 0; b.Loop(); round++ {
				now = now.Add(renewInterval)
				seq++
				for i, h := range holders {
					for j, account := range list {
						// One account in ten is busy, and its demand moves from host to host.
						for range 6 * (j % 10 / 9) * ((i + round/10) % 2) {
							claim, _ := h.Take(now, account.Name)
							claim.Settle(now, true)
						}
					}
					start := time.Now()
					r := h.Report(now, seq)
					g := a.Renew(now, share.Host{Name: string(rune('a' + i)), Instance: "1", Link: fmt.Sprint(i)}, seq, r)
					h.Apply(now, seq, g)
					spent += time.Since(start)
					bytes += proto.Size(r) + proto.Size(g)
					renewals++
				}
			}
			b.ReportMetric(float64(bytes)/float64(renewals), "B/renewal")
			b.ReportMetric(float64(spent.Microseconds())/float64(renewals), "µs/renewal")
		})
	}
}
