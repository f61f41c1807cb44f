package whole_test

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/base/conf"
)

func TestAPIRequiresOperatorToken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := newCluster(t, clusterConfig{ControlHosts: 1, EntryHosts: 1, APIToken: "secret", ModifyConfig: func(h *conf.Config) { h.TokenFile = path }})
	Convey("API requests without the right token are unauthorized, and with it they succeed", t, func() {
		for _, token := range []string{"", "Bearer wrong", "Bearer secre"} {
			code, err := c.request("entry-1", http.MethodGet, "groups", "", http.Header{"Authorization": {token}}, nil)
			So(err, ShouldBeNil)
			So(code, ShouldEqual, http.StatusUnauthorized)
			code, err = c.request("entry-1", http.MethodPut, "callers/x", `{"spec":{}}`, http.Header{"Authorization": {token}}, nil)
			So(err, ShouldBeNil)
			So(code, ShouldEqual, http.StatusUnauthorized)
		}
		code, err := c.request("entry-1", http.MethodGet, "groups", "", nil, nil)
		So(err, ShouldBeNil)
		So(code, ShouldEqual, http.StatusOK)
	})
	Convey("A host whose token file is missing exits with code 1", t, func() {
		c.kill("entry-1")
		So(os.Remove(path), ShouldBeNil)
		c.start("entry-1")
		_ = c.procs["entry-1"].Wait()
		So(c.procs["entry-1"].ProcessState.ExitCode(), ShouldEqual, 1)
		delete(c.procs, "entry-1")
	})
}
