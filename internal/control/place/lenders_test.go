package place_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/control/place"
)

// TestLendersSpreadLoadEvenly checks that each instance has hosts enough, near ones where there are
// any, that the load is even within a data centre, and that the order of the lists is no matter.
func TestLendersSpreadLoadEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []place.Peer
		for i := range rapid.IntRange(2, 90).Draw(t, "hosts") {
			hosts = append(hosts, place.Peer{Name: fmt.Sprint("h", i), Center: fmt.Sprint("c", i%3)})
		}
		var instances []place.Instance
		for i := range rapid.IntRange(1, 24).Draw(t, "instances") {
			instances = append(instances, place.Instance{Name: fmt.Sprint("i", i), Center: fmt.Sprint("c", i%3)})
		}
		chosen := place.Lenders(instances, hosts)
		load := map[string]int{}
		center := map[string]string{}
		for _, h := range hosts {
			center[h.Name] = h.Center
		}
		for _, in := range instances {
			if len(chosen[in.Name]) < 2 {
				t.Fatalf("instance %s has %d hosts", in.Name, len(chosen[in.Name]))
			}
			for _, h := range chosen[in.Name] {
				load[h.Name]++
				if len(hosts) >= 9 && h.Center != in.Center {
					t.Fatalf("host %s of %s holds for an instance of %s", h.Name, h.Center, in.Center)
				}
			}
		}
		least, most := map[string]int{}, map[string]int{}
		for _, h := range hosts {
			c := h.Center
			if _, ok := least[c]; !ok {
				least[c] = load[h.Name]
			}
			least[c] = min(least[c], load[h.Name])
			most[c] = max(most[c], load[h.Name])
		}
		for c := range least {
			if len(hosts) >= 9 && most[c] > least[c]+1 {
				t.Fatalf("hosts of %s hold between %d and %d instances", c, least[c], most[c])
			}
		}
		for i, j := 0, len(hosts)-1; i < j; i, j = i+1, j-1 {
			hosts[i], hosts[j] = hosts[j], hosts[i]
		}
		for instance, list := range place.Lenders(instances, hosts) {
			if fmt.Sprint(list) != fmt.Sprint(chosen[instance]) {
				t.Fatalf("instance %s is held by %v or %v, by the order of the list", instance, list, chosen[instance])
			}
		}
	})
}

// TestSharesStayWithinConnectionLimit checks that lenders together keep no more connections open than they may:
// what is left over is control's, which asks instances for their state during a failover.
func TestSharesStayWithinConnectionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConns := rapid.IntRange(1, 120).Draw(t, "room")
		dedicated := rapid.IntRange(0, 3).Draw(t, "strong")
		var lenders []place.Peer
		for i := range rapid.IntRange(1, 6).Draw(t, "lenders") {
			lenders = append(lenders, place.Peer{Name: fmt.Sprint("h", i), Dedicated: i < dedicated})
		}
		sum := 0
		for _, n := range place.Shares(maxConns, lenders) {
			if n < 1 {
				t.Fatalf("a lender has %d connections", n)
			}
			sum += n
		}
		if sum < 1 || sum > maxConns {
			t.Fatalf("%d lenders keep %d of %d connections", len(lenders), sum, maxConns)
		}
		if maxConns >= 2*len(lenders) && len(place.Shares(maxConns, lenders)) != len(lenders) {
			t.Fatalf("a lender has none of %d connections", maxConns)
		}
	})
}

// TestLendersOfLargeDeployment checks the choice for 295 entry and 5 control hosts: every instance
// has its control hosts first and no entry host holds more than two more instances than another.
func TestLendersOfLargeDeployment(t *testing.T) {
	var hosts []place.Peer
	for i := range 295 {
		hosts = append(hosts, place.Peer{Name: fmt.Sprint("e", i), Center: fmt.Sprint("c", i%5)})
	}
	for i := range 5 {
		hosts = append(hosts, place.Peer{Name: fmt.Sprint("k", i), Center: fmt.Sprint("c", i), Dedicated: true})
	}
	var instances []place.Instance
	for i := range 60 {
		instances = append(instances, place.Instance{Name: fmt.Sprint("i", i), Center: fmt.Sprint("c", i%3)})
	}
	instancesByHost := map[string]int{}
	for instance, list := range place.Lenders(instances, hosts) {
		for n, h := range list {
			if h.Dedicated != (n < 3) {
				t.Fatalf("lender %d of %s is %+v", n, instance, h)
			}
			if !h.Dedicated {
				instancesByHost[h.Name]++
			}
		}
		if len(list) < 5 || list[0].Center != list[3].Center {
			t.Fatalf("instance %s is held by %+v", instance, list)
		}
	}
	for name, n := range instancesByHost {
		if n > 1 {
			t.Fatalf("host %s holds connections to %d instances, of 20 to 59 hosts", name, n)
		}
	}
}
