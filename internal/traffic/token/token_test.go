package token_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/traffic/token"
)

func TestToken(t *testing.T) {
	Convey("A token keeps the latest position of each group", t, func() {
		var tk token.Token
		tk = tk.With("b", token.Position{Term: 2, Position: 5}).With("a", token.Position{Term: 1, Position: 9})
		So(tk.With("b", token.Position{Term: 1, Position: 99}).String(), ShouldEqual, "a@1/9,b@2/5")
		So(tk.With("b", token.Position{Term: 2, Position: 6}).String(), ShouldEqual, "a@1/9,b@2/6")
		parsed, err := token.Parse(tk.String())
		So(err, ShouldBeNil)
		So(parsed.Position("b"), ShouldResemble, token.Position{Term: 2, Position: 5})
	})
	Convey("A position of an earlier term is cut off at the start of the next one", t, func() {
		state := &wire.GroupState{Term: 5, Forks: []*wire.TermStart{{Term: 1}, {Term: 3, Position: 40}, {Term: 5, Position: 60}}}
		for _, tc := range []struct {
			position token.Position
			want     uint64
		}{
			{token.Position{Term: 1, Position: 30}, 30},
			{token.Position{Term: 2, Position: 50}, 40},
			{token.Position{Term: 4, Position: 55}, 55},
			{token.Position{Term: 4, Position: 70}, 60},
			{token.Position{Term: 5, Position: 80}, 80},
		} {
			got, ok := tc.position.Resolve(state)
			So(ok, ShouldBeTrue)
			So(got, ShouldEqual, tc.want)
		}
		_, ok := token.Position{Term: 6}.Resolve(state)
		So(ok, ShouldBeFalse)
	})
	Convey("Invalid tokens are rejected", t, func() {
		for _, text := range []string{"x", "a@1", "a@1/x", "@1/2", "a@1/2,", "a@1/2,a@1/3", "a@-1/2", "a@1/99999999999999999999"} {
			_, err := token.Parse(text)
			So(err, ShouldNotBeNil)
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"", "a@1/2", "a@1/2,b@3/4", "a@1/2,a@1/2", "@/", "a@18446744073709551615/1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		tk, err := token.Parse(text)
		if err != nil {
			return
		}
		again, err := token.Parse(tk.String())
		if err != nil || again.String() != tk.String() {
			t.Fatalf("token %q changed to %q after a round trip", text, tk.String())
		}
	})
}
