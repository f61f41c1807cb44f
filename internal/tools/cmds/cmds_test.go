package cmds_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/tools/cmds"
)

func execute(stdin string, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = cmds.Execute(args, strings.NewReader(stdin), &out, &errs)
	return code, out.String(), errs.String()
}

func TestExecute(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
		return path
	}
	Convey("The printed default settings are valid", t, func() {
		code, out, _ := execute("", "run", "--print-defaults")
		So(code, ShouldEqual, cmds.ExitOK)
		code, out, _ = execute("", "check", write("good.json", out))
		So(code, ShouldEqual, cmds.ExitOK)
		So(out, ShouldContainSubstring, "kingston-1")
	})
	Convey("Invalid settings are reported with file, line and column, and nothing starts", t, func() {
		path := write("bad.json", "{\n  \"hots\": \"x\"\n}")
		for _, args := range [][]string{{"check", path}, {"run", "--config", path}} {
			code, _, errs := execute("", args...)
			So(code, ShouldEqual, cmds.ExitUsage)
			So(errs, ShouldContainSubstring, path+":2:3: unknown name \"hots\"")
		}
	})
	Convey("Asking for help succeeds; an unknown command is a usage error", t, func() {
		for _, name := range []string{"run", "check", "get", "apply", "delete", "watch", "status", "dev", "standin", "measure", "version"} {
			code, out, _ := execute("", name, "--help")
			So(code, ShouldEqual, cmds.ExitOK)
			So(out, ShouldContainSubstring, "xample")
		}
		code, _, errs := execute("", "boast")
		So(code, ShouldEqual, cmds.ExitUsage)
		So(errs, ShouldContainSubstring, "boast")
	})
	Convey("An invalid resource file is refused with the expected form", t, func() {
		code, _, errs := execute("[1, 2]", "apply", "-")
		So(code, ShouldEqual, cmds.ExitUsage)
		So(errs, ShouldContainSubstring, `{"kind"`)
	})
	Convey("If no host listens, a command fails and a change has no effect", t, func() {
		for _, args := range [][]string{{"get", "--api", "127.0.0.1:1", "groups"}, {"delete", "--api", "127.0.0.1:1", "callers", "x"}} {
			code, _, _ := execute("", args...)
			So(code, ShouldEqual, cmds.ExitFailed)
		}
	})
	Convey("If the response is lost, the outcome of a change is unknown", t, func() {
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		defer srv.Close()
		code, _, errs := execute("", "delete", "--api", strings.TrimPrefix(srv.URL, "http://"), "callers", "x")
		So(code, ShouldEqual, cmds.ExitUnknown)
		So(errs, ShouldContainSubstring, "read the resource to see")
	})
	Convey("The version is also available as JSON", t, func() {
		code, out, _ := execute("", "version", "-o", "json")
		So(code, ShouldEqual, cmds.ExitOK)
		So(out, ShouldContainSubstring, `"version":"`+cmds.Version+`"`)
	})
}
