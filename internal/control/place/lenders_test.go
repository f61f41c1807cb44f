package place_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/agatespindle/agatespindle/internal/control/place"
)

// TestLendersSpreadLoadEvenly checks that each instance has at least two lenders, in its own data
// centre if there are enough hosts; that the load is even within a data centre; and that the
// result does not depend on the order of the hosts.
func TestLendersSpreadLoadEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []place.Lender
		for i := range rapid.IntRange(2, 90).Draw(t, "hosts") {
			hosts = append(hosts, place.Lender{Name: fmt.Sprint("h", i), Center: fmt.Sprint("c", i%3)})
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
				t.Fatalf("instance %s has %d lenders, want at least 2", in.Name, len(chosen[in.Name]))
			}
			for _, h := range chosen[in.Name] {
				load[h.Name]++
				if len(hosts) >= 9 && h.Center != in.Center {
					t.Fatalf("host %s in data centre %s lends connections to an instance in %s", h.Name, h.Center, in.Center)
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
				t.Fatalf("hosts in data centre %s are lenders of between %d and %d instances, want a difference of at most 1", c, least[c], most[c])
			}
		}
		for i, j := 0, len(hosts)-1; i < j; i, j = i+1, j-1 {
			hosts[i], hosts[j] = hosts[j], hosts[i]
		}
		for instance, list := range place.Lenders(instances, hosts) {
			if fmt.Sprint(list) != fmt.Sprint(chosen[instance]) {
				t.Fatalf("lenders of instance %s are %v or %v, depending on the order of hosts", instance, list, chosen[instance])
			}
		}
	})
}

// TestSharesStayWithinConnectionLimit checks that lenders together keep no more connections open
// than the limit. The remaining ones are reserved for control, which queries instances for their
// status during a failover.
func TestSharesStayWithinConnectionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConns := rapid.IntRange(1, 120).Draw(t, "maxConns")
		dedicated := rapid.IntRange(0, 3).Draw(t, "dedicated")
		var lenders []place.Lender
		for i := range rapid.IntRange(1, 6).Draw(t, "lenders") {
			lenders = append(lenders, place.Lender{Name: fmt.Sprint("h", i), Dedicated: i < dedicated})
		}
		sum := 0
		for _, n := range place.Shares(maxConns, lenders) {
			if n < 1 {
				t.Fatalf("a lender has %d connections, want at least 1", n)
			}
			sum += n
		}
		if sum < 1 || sum > maxConns {
			t.Fatalf("%d lenders keep %d connections, want 1 to %d", len(lenders), sum, maxConns)
		}
		if maxConns >= 2*len(lenders) && len(place.Shares(maxConns, lenders)) != len(lenders) {
			t.Fatalf("a lender got none of %d connections", maxConns)
		}
	})
}

// TestLendersOfLargeDeployment checks Lenders for 295 entry and 5 control hosts: every instance has
// three control hosts first, and no entry host is a lender of more than one instance.
func TestLendersOfLargeDeployment(t *testing.T) {
	var hosts []place.Lender
	for i := range 295 {
		hosts = append(hosts, place.Lender{Name: fmt.Sprint("e", i), Center: fmt.Sprint("c", i%5)})
	}
	for i := range 5 {
		hosts = append(hosts, place.Lender{Name: fmt.Sprint("k", i), Center: fmt.Sprint("c", i), Dedicated: true})
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
			t.Fatalf("lenders of instance %s are %+v", instance, list)
		}
	}
	for name, n := range instancesByHost {
		if n > 1 {
			t.Fatalf("host %s is a lender of %d instances, want at most 1: 59 hosts of a data centre share 20 instances", name, n)
		}
	}
}
