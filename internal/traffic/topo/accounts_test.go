package topo_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/traffic/topo"
)

func TestLargestAccounts(t *testing.T) {
	Convey("The largest few accounts are named, and thousands of others are one", t, func() {
		counts := map[string]int{"north": 9, "south-2 é": 7, strings.Repeat("n", 200): 5}
		for i := range 5000 {
			counts[fmt.Sprint("small", i)] = 1
		}
		shown := topo.LargestAccounts(counts, 3)
		So(shown, ShouldResemble, map[string]int{"north": 9, "south_2__": 7, strings.Repeat("n", 60): 5, topo.OtherAccounts: 5000})
	})
	Convey("Accounts whose names look alike in a metric are counted together", t, func() {
		So(topo.LargestAccounts(map[string]int{"a-b": 1, "a.b": 2}, 3), ShouldResemble, map[string]int{"a_b": 3})
	})
}
