package mimic_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agatespindle/agatespindle/internal/backend/mimic"
)

// exchange sends bytes to an instance on one connection and returns the n bytes that it answers.
func exchange(t *testing.T, in *mimic.Instance, sent string, n int) string {
	t.Helper()
	c, err := net.Dial("tcp", in.Addr)
	So(err, ShouldBeNil)
	defer c.Close()
	So(c.SetDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
	_, err = io.WriteString(c, sent)
	So(err, ShouldBeNil)
	b := make([]byte, n)
	read, _ := io.ReadFull(c, b)
	return string(b[:read])
}

// TestInstanceKeepsTheBytesOfFields guards against an instance that ends a line at another byte than CR LF.
func TestInstanceKeepsTheBytesOfFields(t *testing.T) {
	for _, data := range []string{
		"a\nb", "\n", "a\rb", "a\r", "a\r\r", " a  b ", "\x00\xff\n\r", "\nDONE x\nREADY I 9.9", "a\nQUERY 1 WRITE k v", "\nROW y\n",
	} {
		Convey(fmt.Sprintf("An instance gives back %q as it was sent", data), t, func() {
			in, err := (&mimic.Group{Name: "g", MaxConns: 4, RecordRuns: true}).Start("i", "127.0.0.1:0", "a")
			So(err, ShouldBeNil)
			defer in.Crash()
			Convey("as data of a write", func() {
				answer := "READY I 1.0\r\nDONE i.1\r\nREADY I 1.1\r\nROW " + data + "\r\nDONE i.2\r\nREADY I 1.1\r\n"
				So(exchange(t, in, "STARTUP g me\r\nQUERY a WRITE k "+data+"\r\nQUERY b READ k\r\n", len(answer)), ShouldEqual, answer)
			})
			Convey("in an item", func() {
				answer := "READY I 1.0\r\nDONE i.1\r\nREADY I 1.1\r\nROW v\r\nDONE i.2\r\nREADY I 1.1\r\n"
				item := "k" + strings.ReplaceAll(data, " ", "_")
				So(exchange(t, in, "STARTUP g me\r\nQUERY a WRITE "+item+" v\r\nQUERY b READ "+item+"\r\n", len(answer)), ShouldEqual, answer)
			})
			Convey("as a session value", func() {
				answer := "READY I 1.0\r\nDONE -\r\nREADY I 1.0\r\nROW " + data + "\r\nDONE i.1\r\nREADY I 1.0\r\n"
				So(exchange(t, in, "STARTUP g me\r\nQUERY - SET n "+data+"\r\nQUERY b READ value:n\r\n", len(answer)), ShouldEqual, answer)
			})
			Convey("as an argument of a prepared statement", func() {
				answer := "READY I 1.0\r\nDONE -\r\nREADY I 1.0\r\nDONE i.1\r\nREADY I 1.1\r\nROW " + data + "\r\nDONE i.2\r\nREADY I 1.1\r\n"
				So(exchange(t, in, "STARTUP g me\r\nQUERY - PREPARE p WRITE "+data+"\r\nQUERY a EXEC p k "+data+"\r\nQUERY b READ k\r\n", len(answer)), ShouldEqual, answer)
			})
		})
	}
	Convey("A word that ends at a line feed is no word of the protocol", t, func() {
		in, err := (&mimic.Group{Name: "g", MaxConns: 4}).Start("i", "127.0.0.1:0", "a")
		So(err, ShouldBeNil)
		defer in.Crash()
		So(exchange(t, in, "STARTUP g me\nQUERY a READ k\r\n", 100), ShouldEqual, "ERR WRONGNODE i\r\n")
		So(exchange(t, in, "STARTUP g me\nyou\r\nQUERY b BEGIN\n\r\n", 36), ShouldStartWith, "READY I 1.0\r\nERR MALFORMED i\r\n")
	})
}
