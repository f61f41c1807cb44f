package spec_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/control/spec"
)

func TestManifestValidation(t *testing.T) {
	valid := spec.Database{Name: "d", Path: "/", Group: "g", Consistency: spec.StrongConsistency, StatementTimeout: time.Second}
	groups := []spec.ManifestGroup{{Name: "g"}}
	Convey("A valid manifest has no errors and survives encoding and decoding", t, func() {
		m := spec.Manifest{Number: 3, Groups: groups, Databases: []spec.Database{valid}, TransactionIdleTimeout: time.Second}
		So(m.Validate(), ShouldBeEmpty)
		decoded, err := spec.DecodeManifest(m.Encode())
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, m)
	})
	Convey("All errors are reported at once, each with its field", t, func() {
		invalid := spec.Database{Name: "", Group: "other", Consistency: "?", MaxStaleness: -1}
		fields := []string{}
		for _, f := range (spec.Manifest{Groups: groups, Databases: []spec.Database{valid, valid, invalid}}).Validate() {
			fields = append(fields, f.Field)
		}
		So(fields, ShouldResemble, []string{
			"databases[1].name", "databases[2].name", "databases[2].group", "databases[2].timeout", "databases[2].age", "databases[2].reads",
		})
		So((spec.Manifest{Groups: []spec.ManifestGroup{{Name: "g"}, {Name: "g"}}}).Validate(), ShouldHaveLength, 1)
	})
}

// TestManifestFitsSlowLinks encodes the largest manifest in the platform's workload. It must
// cross a link of 2 Mbit/s in a fraction of a caller's wait limit.
func TestManifestFitsSlowLinks(t *testing.T) {
	Convey("1,400 databases take under 50 KB, a fifth of a second at 2 Mbit/s", t, func() {
		m := spec.Manifest{Number: 1, Groups: []spec.ManifestGroup{{Name: "fide22a"}}}
		for i := range 1400 {
			m.Databases = append(m.Databases, spec.Database{
				Name: fmt.Sprintf("x%xpu%dny", i*7919, i), Path: "/", Group: "fide22a", Consistency: spec.BoundedStaleness, MaxStaleness: 1500 * time.Millisecond,
				StatementTimeout: time.Duration(800+i%5*10) * time.Millisecond, TargetLatency: 300 * time.Millisecond, Priority: 2,
			})
		}
		b := m.Encode()
		So(len(b), ShouldBeLessThan, 50_000)
		decoded, err := spec.DecodeManifest(b)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, m)
	})
}
