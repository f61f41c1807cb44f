package spec_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/control/spec"
)

func TestAccountValidation(t *testing.T) {
	digests := func(keys ...string) (list []spec.KeyDigest) {
		for _, key := range keys {
			list = append(list, spec.DigestOf(key))
		}
		return list
	}
	validate := func(accounts ...spec.Account) (fields []string) {
		for _, f := range (spec.Manifest{Accounts: accounts}).Validate() {
			fields = append(fields, f.Field)
			So(f.Text, ShouldNotContainSubstring, "secret")
		}
		return fields
	}
	Convey("Accounts with and without keys and limits are valid", t, func() {
		So(validate(
			spec.Account{Name: "a", Keys: digests("k1", "k2", "k1"), Rate: 0.5, Burst: 1}, spec.Account{Name: "b"}, spec.Account{Name: "c", Keys: digests("k3"), Burst: 0.5},
		), ShouldBeEmpty)
	})
	Convey("All errors are reported at once, each with its place, and none shows a key", t, func() {
		So(validate(
			spec.Account{Name: "a", Keys: digests("secret-1", "")}, spec.Account{Name: "a", Keys: digests("secret-2", "secret-1")}, spec.Account{},
			spec.Account{Name: "d", Rate: -1, Burst: math.NaN()}, spec.Account{Name: "e", Rate: 5, Burst: 0.9}, spec.Account{Name: "f", Rate: math.Inf(1), Burst: 5},
			spec.Account{Name: "g i-1\r\nQUERY"}, spec.Account{Name: "h\x00"}, spec.Account{Name: strings.Repeat("n", 256)},
		), ShouldResemble, []string{
			"accounts[0].keys[1]", "accounts[1].name", "accounts[1].keys[1]", "accounts[2].name", "accounts[3].rate", "accounts[3].burst",
			"accounts[4].burst", "accounts[5].rate", "accounts[6].name", "accounts[7].name", "accounts[8].name",
		})
	})
}

func TestDescription(t *testing.T) {
	Convey("The errors of a manifest are described together, thousands of them in a bounded text", t, func() {
		list := (spec.Manifest{Accounts: []spec.Account{{}, {Name: "a", Rate: -1}}}).Validate()
		So(spec.Describe(list), ShouldEqual, `accounts[0].name: "" is empty or a duplicate; accounts[1].rate: must be a finite number that is not negative`)
		text := spec.Describe((spec.Manifest{Accounts: make([]spec.Account, 10_000)}).Validate())
		So(text, ShouldEndWith, "; and 9900 more")
		So(len(text), ShouldBeLessThan, 10_000)
	})
}

// TestManyAccounts declares many more accounts than the platform's workload has.
func TestManyAccounts(t *testing.T) {
	Convey("Ten thousand accounts with two keys each are checked and encoded well within the time of a call", t, func() {
		m := spec.Manifest{Number: 1}
		for i := range 10_000 {
			m.Accounts = append(m.Accounts, spec.Account{
				Name: fmt.Sprintf("client%d", i), Rate: float64(i % 300), Burst: 300, Keys: []spec.KeyDigest{spec.DigestOf(fmt.Sprint(i)), spec.DigestOf(fmt.Sprint("b", i))},
			})
		}
		start := time.Now()
		So(m.Validate(), ShouldBeEmpty)
		b := m.Encode()
		decoded, err := spec.DecodeManifest(b)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, m)
		So(time.Since(start), ShouldBeLessThan, 2*time.Second)
		So(len(b), ShouldBeLessThan, 700_000)
	})
}
