package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/agatespindle/agatespindle/internal/traffic/sess"
)

const (
	// maxLossKinds is the maximum number of kinds that are counted separately. It bounds the memory,
	// whatever the lines hold; further kinds are counted together.
	maxLossKinds = 20000
	// maxReasonBytes is the maximum length of a reason; longer ones are cut.
	maxReasonBytes = 100
)

// LossOptions are the options of Losses.
type LossOptions struct {
	// Interval is the length of the intervals by which losses are counted; at least one millisecond.
	Interval time.Duration
	// Most is the maximum number of kinds listed per interval, the largest first; zero lists all.
	Most int
	// JSON writes one JSON object instead of a table.
	JSON bool
}

// Loss is the number of lines of one kind in an interval: refused requests, ended transactions,
// callers that left, or failed tries.
type Loss struct {
	Start time.Time `json:"start"`
	// Event is the message of the log lines.
	Event string `json:"event"`
	Group string `json:"group"`
	// Reason is the result code, or the cause of a failed try without the instance's name.
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
	// Unleased counts lines of hosts that had no lease, and Closed those of groups without an open
	// term.
	Unleased int64 `json:"unleased"`
	Closed   int64 `json:"closed"`
	// Instance is the instance of most of the lines, and Host the host that wrote most of them.
	Instance string `json:"instance"`
	Host     string `json:"host"`
	// LongestTook is the longest time that a request had taken, and OldestPosition the highest age
	// of the latest known position of the group.
	LongestTook    Duration `json:"longest_took"`
	OldestPosition Duration `json:"oldest_position"`

	instances, hosts map[string]int64
}

// Duration is a time.Duration that is encoded as text, for instance "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	parsed, err := time.ParseDuration(string(b))
	*d = Duration(parsed)
	return err
}

// LossReport is the result of Losses.
type LossReport struct {
	Losses []*Loss `json:"losses"`
	// Unreadable is the number of lines that are not valid log lines. Skipped is the number of lines
	// about requests that hosts did not write because of their log's rate limit, and Uncounted the
	// number of lines beyond maxLossKinds.
	Unreadable int64 `json:"unreadable"`
	Skipped    int64 `json:"skipped"`
	Uncounted  int64 `json:"uncounted"`
}

// lossKey identifies a kind of loss in an interval.
type lossKey struct {
	start                int64
	event, group, reason string
}

// lossCounter counts losses while lines are read.
type lossCounter struct {
	interval time.Duration
	byKey    map[lossKey]*Loss
	report   LossReport
}

// Losses reads the JSON log lines of any number of hosts from r, in any order, and writes to w how
// many requests were refused or ended and how many tries failed, by interval, group and reason. It
// keeps no lines, so that its memory does not grow with the size of the logs. It returns an error
// if r cannot be read or w cannot be written.
func Losses(w io.Writer, r io.Reader, opt LossOptions) error {
	c := &lossCounter{interval: max(opt.Interval, time.Millisecond), byKey: map[lossKey]*Loss{}}
	if err := eachLine(r, c.countLine); err != nil {
		return err
	}
	c.finish(opt.Most)
	if opt.JSON {
		return json.NewEncoder(w).Encode(c.report)
	}
	return c.report.writeTable(w)
}

// eachLine calls fn with each line of r. A line longer than maxLineBytes is passed as nil.
func eachLine(r io.Reader, fn func(line []byte)) error {
	br := bufio.NewReaderSize(r, maxLineBytes)
	for {
		line, err := br.ReadSlice('\n')
		for tooLong := errors.Is(err, bufio.ErrBufferFull); tooLong; tooLong = errors.Is(err, bufio.ErrBufferFull) {
			_, err = br.ReadSlice('\n')
			line = nil
		}
		if len(line) > 0 || err == nil {
			fn(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// countLine counts a line if it is about a loss.
func (c *lossCounter) countLine(line []byte) {
	l, ok := decodeLine(line)
	if !ok {
		c.report.Unreadable++
		return
	}
	if skipped, ok := l.Fields["skipped"].(float64); ok {
		c.report.Skipped += int64(skipped)
	}
	switch l.Message {
	case sess.EventRefused, sess.EventTransactionEnded, sess.EventCallerLeft, sess.EventTryFailed:
		c.count(l)
	}
}

func (c *lossCounter) count(l logLine) {
	start := l.Timestamp.Truncate(c.interval)
	key := lossKey{start.UnixNano(), l.Message, l.field("group"), reasonOf(l)}
	loss := c.byKey[key]
	if loss == nil {
		if len(c.byKey) >= maxLossKinds {
			c.report.Uncounted++
			return
		}
		loss = &Loss{Start: start, Event: key.event, Group: key.group, Reason: key.reason, instances: map[string]int64{}, hosts: map[string]int64{}}
		c.byKey[key] = loss
	}
	loss.Count++
	if leased, ok := l.Fields["leased"].(bool); ok && !leased {
		loss.Unleased++
	}
	if open, ok := l.Fields["open"].(bool); ok && !open {
		loss.Closed++
	}
	loss.LongestTook = max(loss.LongestTook, durationField(l, "took"))
	loss.OldestPosition = max(loss.OldestPosition, durationField(l, "positionage"))
	addName(loss.instances, l.field("instance"))
	addName(loss.hosts, l.field("host"))
}

// maxNames is the maximum number of instances and of hosts that are counted for a kind.
const maxNames = 32

// addName counts a name unless it is missing or maxNames others are counted already.
func addName(counts map[string]int64, name string) {
	if _, known := counts[name]; name == "?" || !known && len(counts) >= maxNames {
		return
	}
	counts[name]++
}

// addrPattern matches an IPv4 address with a port.
var addrPattern = regexp.MustCompile(`\d{1,3}(\.\d{1,3}){3}:\d{1,5}`)

// reasonOf returns the reason of a line: the cause of a failed try, with its stage, or the code. The
// name of the instance and addresses are removed from the cause, so that the same causes are counted
// together.
func reasonOf(l logLine) string {
	reason := l.field("code")
	if l.Message == sess.EventTryFailed {
		cause := strings.ReplaceAll(l.field("cause"), l.field("instance"), "I")
		reason = l.field("stage") + ": " + addrPattern.ReplaceAllString(cause, "ADDR")
	}
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + "…"
	}
	return reason
}

// durationField returns the duration in a field, or zero if there is none.
func durationField(l logLine, name string) Duration {
	d, err := time.ParseDuration(l.field(name))
	if err != nil {
		return 0
	}
	return Duration(d)
}

// finish sorts the losses by interval and count, and keeps the largest ones of each interval if most
// is positive.
func (c *lossCounter) finish(most int) {
	for _, loss := range c.byKey {
		loss.Instance, loss.Host = mostFrequent(loss.instances), mostFrequent(loss.hosts)
		c.report.Losses = append(c.report.Losses, loss)
	}
	slices.SortFunc(c.report.Losses, func(a, b *Loss) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Event, b.Event), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Reason, b.Reason))
	})
	if most <= 0 {
		return
	}
	var kept []*Loss
	n := 0
	for i, loss := range c.report.Losses {
		if i > 0 && !loss.Start.Equal(c.report.Losses[i-1].Start) {
			n = 0
		}
		if n++; n <= most {
			kept = append(kept, loss)
		}
	}
	c.report.Losses = kept
}

// mostFrequent returns the name with the highest count, "" if there is none.
func mostFrequent(counts map[string]int64) string {
	best := ""
	for name, n := range counts {
		if best == "" || n > counts[best] || n == counts[best] && name < best {
			best = name
		}
	}
	return best
}

func (r LossReport) writeTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "START\tCOUNT\tEVENT\tGROUP\tREASON\tNO LEASE\tCLOSED\tINSTANCE\tHOST\tLONGEST\tPOSITION AGE")
	for _, l := range r.Losses {
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", l.Start.Format("15:04:05.000"), l.Count, l.Event, shown(l.Group), shown(l.Reason),
			l.Unleased, l.Closed, shown(l.Instance), shown(l.Host), rounded(l.LongestTook), rounded(l.OldestPosition))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d lines are not valid log lines; hosts skipped %d lines because of their rate limit; %d lines beyond %d kinds are not listed\n",
		r.Unreadable, r.Skipped, r.Uncounted, maxLossKinds)
	return err
}

func rounded(d Duration) time.Duration { return time.Duration(d).Round(time.Millisecond) }

// decodeLine decodes a log line. Text before the first brace is ignored: log collectors add
// prefixes. It reports false for a line that is not a log line.
func decodeLine(line []byte) (logLine, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	if json.Unmarshal(line[start:], &l) != nil || l.Message == "" {
		return logLine{}, false
	}
	return l, true
}
