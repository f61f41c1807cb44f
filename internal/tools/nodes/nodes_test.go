package nodes_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/tools/nodes"
)

// execute runs a command with in as standard input and returns its exit code and output.
func execute(in string, args ...string) (code int, out, errs string) {
	var o, e strings.Builder
	code = nodes.Execute(args, strings.NewReader(in), &o, &e)
	return code, o.String(), e.String()
}

func TestCommands(t *testing.T) {
	Convey("Invalid settings: all errors are listed, nothing starts, and the exit code is 2", t, func() {
		path := filepath.Join(t.TempDir(), "settings.toml")
		So(os.WriteFile(path, []byte(`node = "a"`), 0o600), ShouldBeNil)
		for _, args := range [][]string{{"check", path}, {"run", "--config", path}, {"run", "--config", path + ".none"}} {
			code, _, errs := execute("", args...)
			So(code, ShouldEqual, 2)
			So(errs, ShouldNotBeBlank)
		}
		_, _, errs := execute("", "check", path)
		So(errs, ShouldContainSubstring, "seeds")
		So(errs, ShouldContainSubstring, "internal_port_range")
	})
	Convey("Unknown command, help, version and an unknown request", t, func() {
		code, _, _ := execute("", "nothing")
		So(code, ShouldEqual, 2)
		code, out, _ := execute("", "--help")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "explain")
		code, out, _ = execute("", "version")
		So(code, ShouldEqual, 0)
		So(out, ShouldStartWith, "agatespindle-node ")
		code, _, errs := execute("", "explain", "7f")
		So(code, ShouldEqual, 1)
		So(errs, ShouldContainSubstring, "no log line mentions this request")
	})
	Convey("Losses as table and JSON, and invalid options", t, func() {
		line := `{"fields":{"group":"g","code":"busy"},"timestamp":"2026-01-01T10:00:00Z","message":"request refused"}`
		code, out, _ := execute(line, "losses")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "request refused")
		code, out, _ = execute(line, "losses", "-o", "json")
		So(code, ShouldEqual, 0)
		So(out, ShouldStartWith, `{"losses":[{"start":"2026-01-01T10:00:00Z"`)
		for _, args := range [][]string{{"--interval", "0s"}, {"--interval", "-1s"}, {"--most", "-1"}, {"-o", "xml"}} {
			code, out, errs := execute(line, append([]string{"losses"}, args...)...)
			So(code, ShouldEqual, 2)
			So(out, ShouldBeBlank)
			So(errs, ShouldNotBeBlank)
		}
	})
}
