package conf_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/conf"
)

func TestDecode(t *testing.T) {
	Convey("The commented defaults decode without issues and equal the defaults", t, func() {
		cfg, err := conf.Decode([]byte(conf.CommentedDefaults))
		So(err, ShouldBeNil)
		want := conf.Default()
		So([]any{cfg.LeaseDuration, cfg.RenewInterval, cfg.HeartbeatInterval, cfg.ElectionTimeout, cfg.PrimaryTimeout, cfg.StatementTimeout, cfg.DrainTimeout, cfg.LogLevel}, ShouldResemble,
			[]any{want.LeaseDuration, want.RenewInterval, want.HeartbeatInterval, want.ElectionTimeout, want.PrimaryTimeout, want.StatementTimeout, want.DrainTimeout, want.LogLevel})
		So(cfg.HasRole(conf.RoleControl), ShouldBeTrue)
		So(cfg.LeaseDuration.Std(), ShouldEqual, 2*time.Second)
	})
	Convey("All mistakes are reported at once, with line, column and advice", t, func() {
		_, err := conf.Decode([]byte(`{
  "host": "a b",
  "center": "kingston",
  "roles": ["control", "boss"],
  "caler": "127.0.0.1:1",
  "api": "localhost:80",
  "link": "127.0.0.1:6490",
  "control": [{"host": "x", "link": "127.0.0.1:6490"}],
  "lease": "2",
  "renew": "1h",
  "level": 5,
}`))
		var issues conf.Issues
		So(errors.As(err, &issues), ShouldBeTrue)
		lines := map[int]string{}
		for _, issue := range issues {
			lines[issue.Line] += issue.Text + " "
			So(issue.Column, ShouldBeGreaterThan, 0)
		}
		for line, want := range map[int]string{
			2: "not a host name", 4: "boss", 5: `unknown name "caler"`, 6: "IP address and a port",
			8: "not in the list", 9: "unit", 10: "out of bounds", 11: "text in quotes",
		} {
			So(lines[line], ShouldContainSubstring, want)
		}
		So(err.Error(), ShouldContainSubstring, "data: a control host needs a directory")
	})
	Convey("Duplicate addresses and inconsistent durations are reported", t, func() {
		text := strings.NewReplacer(`"api": "127.0.0.1:6480"`, `"api": "127.0.0.1:6432"`, `"lease": "2s"`, `"lease": "600ms"`, `"election": "300ms"`, `"election": "100ms"`).Replace(conf.CommentedDefaults)
		_, err := conf.Decode([]byte(text))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, `is already used by "caller"`)
		So(err.Error(), ShouldContainSubstring, "write at least 900ms")
		So(err.Error(), ShouldContainSubstring, "heartbeats")
	})
	Convey("A duplicate name and a syntax error are reported", t, func() {
		_, err := conf.Decode([]byte(`{"host": "a", "host": "b"}`))
		So(err.Error(), ShouldContainSubstring, "appears twice")
		_, err = conf.Decode([]byte("{\n\"host\": }"))
		var issues conf.Issues
		So(errors.As(err, &issues), ShouldBeTrue)
		So(issues[0].Line, ShouldEqual, 2)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(conf.CommentedDefaults))
	f.Add([]byte(`{"host": 5, "control": {}, "roles": [[]], "lease": null}`))
	f.Add([]byte(`{"control": [5, {"host": []}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = conf.Decode(b) })
}
