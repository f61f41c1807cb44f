package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/agatespindle/agatespindle/internal/base/clock"
)

// Kinds of callers that run all operations: with texts that hold any bytes that the protocol allows, or with plain
// ones.
const (
	kindOdd   = "odd"
	kindPlain = "plain"
)

const (
	// initialItems is the number of items that exist from the start of a run with odd callers.
	initialItems = 24
	// maxPieces is the number of pieces that an odd text has at most.
	maxPieces = 5
	// One of longTexts texts is long, and begins with up to longTextPieces pieces.
	longTexts      = 16
	longTextPieces = 4 << 10
	// oddAhead is the number of statements that odd callers send together.
	oddAhead = 3
)

// oddPieces are joined to odd texts, oddWords to odd words.
var (
	oddPieces = []string{
		" ", "  ", "a", "\x00", "\xff\xfe", "\n", "\r", "\r\r", "\n\r", "\nROW y", "\nDONE x", "\nREADY I 9.9", "\nDONE x\nREADY I 9.9", "\nDONE x\nREADY I 9.9\nROW y",
		"\nERR RDONLY i-0\nREADY I 9.9", "\nQUERY 1 WRITE k v", "\nQUERY 1 COMMIT", "\nQUIT", "\nSTARTUP orders x", "QUERY 1 READ k", "DONE x",
	}
	oddWords = []string{"a", "b", "\n", "\r", "\n\r", "\x00", "\xff", "\nDONE", "\nREADY", "\nQUIT", "\nCOMMIT", "\nROW"}
)

// answerRows are rows that look like the end of an answer, or like several.
var answerRows = []string{
	"\nDONE x\nREADY I 9.9", "a\nDONE x\nREADY I 9.9\nb", "\nROW y\nDONE i-0.1\nREADY I 9.9\nROW z\nDONE i-0.2\nREADY I 9.9\n", "a\nERR RDONLY i-0\nREADY I 9.9\n", "a\r", "a\r\r",
}

// join draws up to maxPieces pieces and joins them to a text that begins with head and holds no line end.
func join(rng *rand.Rand, head string, pieces []string) string {
	text := head
	for range rng.IntN(maxPieces + 1) {
		p := pieces[rng.IntN(len(pieces))]
		if strings.HasSuffix(text, "\r") && strings.HasPrefix(p, "\n") {
			p = "_" + p
		}
		text += p
	}
	return text
}

// oddText draws a text that may be the last field of a line. A few are longer than usual buffers.
func oddText(rng *rand.Rand) string {
	head := []string{"v", "", " ", "\r", "\n"}[rng.IntN(5)]
	if rng.IntN(longTexts) == 0 {
		head = strings.Repeat("x\n\r", rng.IntN(longTextPieces))
	}
	if text := join(rng, head, oddPieces); text != "" {
		return text
	}
	return "v"
}

// oddWord draws a word that begins with head, which is plain in half of the cases.
func oddWord(rng *rand.Rand, head string) string {
	if rng.IntN(2) == 0 {
		return head
	}
	return join(rng, head, oddWords)
}

// oddItems returns the items that exist from the start of a run with odd callers.
func oddItems(seed uint64) map[string]string {
	rng := rand.New(rand.NewPCG(seed, 4))
	items := map[string]string{}
	for i := range initialItems {
		items[oddWord(rng, fmt.Sprint("old", i))] = oddText(rng)
	}
	for i, row := range answerRows {
		items[fmt.Sprint("answer", i)] = row
		items[fmt.Sprint(kindPlain, i)] = fmt.Sprint("v", i)
	}
	return items
}

// oddCaller is a caller of kind kindOdd or kindPlain.
type oddCaller struct {
	*session
	ctx  context.Context
	rng  *rand.Rand
	kind string
	// name is the start of the caller's ids, items and names, and n counts them.
	name string
	n    int
	// initial are the names of the items that exist from the start.
	initial []string
	// current is set if reads return the session's own writes.
	current bool
}

// startOdd starts callers of kind kindOdd and kindPlain.
func (wl *workload) startOdd(ctx context.Context, seed uint64, odd, plain int) {
	for i := range odd + plain {
		c := &oddCaller{ctx: ctx, rng: rand.New(rand.NewPCG(seed, uint64(7000+i))), name: fmt.Sprintf("o%d-", i), kind: kindOdd}
		if i >= odd {
			c.kind = kindPlain
		}
		for _, item := range slices.Sorted(maps.Keys(wl.initial)) {
			if c.kind == kindOdd || strings.HasPrefix(item, kindPlain) {
				c.initial = append(c.initial, item)
			}
		}
		wl.wg.Add(1)
		go func() {
			defer wl.wg.Done()
			c.run(wl)
		}()
	}
}

// run opens one session after the other until the context is canceled.
func (c *oddCaller) run(wl *workload) {
	databases := []string{"orders", "notes", "parts"}
	for c.ctx.Err() == nil {
		database := databases[c.rng.IntN(len(databases))]
		s, err := wl.openOdd(c, database)
		if err != nil {
			clock.Sleep(c.ctx, wl.reconnectDelay())
			continue
		}
		c.session, c.current = s, database != "parts"
		if c.kind == kindOdd && c.rng.IntN(2) == 0 {
			s.split = c.rng.IntN
		}
		for n := 0; n < statementsPerSession && c.ctx.Err() == nil && c.step(); n++ {
			clock.Sleep(c.ctx, wl.interval(c.rng))
		}
		s.conn.Close()
	}
}

// openOdd opens a session on a random host. In runs without accounts an odd caller's word is odd at times.
func (wl *workload) openOdd(c *oddCaller, database string) (*session, error) {
	host, who := c.rng.IntN(len(wl.callerAddrs)), "soak"
	if wl.accounts {
		return wl.openWithKey(host, database, c.kind, accountWriters, keyOf(accountWriters))
	}
	if c.kind == kindOdd && c.rng.IntN(4) == 0 {
		who = oddWord(c.rng, "o")
	}
	return wl.openWithKey(host, database, c.kind, "", who)
}

// word draws a word that no one has used.
func (c *oddCaller) word() string {
	c.n++
	word := fmt.Sprint(c.name, c.n)
	if c.kind == kindPlain {
		return word
	}
	return oddWord(c.rng, word)
}

// text draws a text that may be the last field of a line.
func (c *oddCaller) text() string {
	if c.kind == kindPlain {
		return fmt.Sprint("v", c.rng.Uint32())
	}
	return oddText(c.rng)
}

// do sends a statement and reports whether it succeeded. want, if set, is the row that it has to return.
func (c *oddCaller) do(text string, want *string) bool {
	c.want = want
	_, out, usable := c.query(c.word(), text)
	return usable && out == Acked
}

// step runs one operation. It reports whether the session can still be used.
func (c *oddCaller) step() bool {
	switch c.rng.IntN(6) {
	case 0:
		return c.write()
	case 1:
		return c.prepareAndRun()
	case 2:
		return c.setValue()
	case 3:
		return c.transaction()
	case 4:
		return c.readAhead()
	}
	return c.readInitial()
}

// wanted returns the row that a read of the session's own write has to return, or nil.
func (c *oddCaller) wanted(data string) *string {
	if !c.current {
		return nil
	}
	return &data
}

func (c *oddCaller) write() bool {
	item, data := c.word(), c.text()
	return c.do("WRITE "+item+" "+data, nil) && c.do("READ "+item, c.wanted(data))
}

func (c *oddCaller) readInitial() bool {
	item := c.initial[c.rng.IntN(len(c.initial))]
	data := c.wl.initial[item]
	return c.do("READ "+item, &data)
}

// readAhead reads an item several times at once.
func (c *oddCaller) readAhead() bool {
	item, ids := c.initial[c.rng.IntN(len(c.initial))], []string{}
	for range oddAhead {
		ids = append(ids, c.word())
	}
	data := c.wl.initial[item]
	c.want = &data
	ok := c.send(ids, "READ "+item)
	for ok && len(c.pending) > 0 {
		_, _, ok = c.receive()
	}
	return ok
}

// prepareAndRun prepares two statements, one that reads and one that writes, and runs both.
func (c *oddCaller) prepareAndRun() bool {
	writes, reads, item, data := c.word(), c.word(), c.word(), c.text()
	return c.do("PREPARE "+writes+" WRITE "+c.text(), nil) && c.do("PREPARE "+reads+" READ "+c.text(), nil) &&
		c.do("EXEC "+writes+" "+item+" "+data, nil) && c.do("EXEC "+reads+" "+item, c.wanted(data)) && c.do("CLOSE "+writes, nil)
}

func (c *oddCaller) setValue() bool {
	name, value := c.word(), c.text()
	return c.do("SET "+name+" "+value, nil) && c.do("READ value:"+name, &value)
}

// transaction writes an item and reads it back, and keeps the write or not.
func (c *oddCaller) transaction() bool {
	item, data, end := c.word(), c.text(), "COMMIT"
	if c.rng.IntN(4) == 0 {
		end = "ROLLBACK"
	}
	steps := []func() bool{
		func() bool { return c.do("WRITE "+item+" "+data, nil) },
		func() bool { return c.do("READ "+item, &data) },
		c.readInitial, c.setValue,
	}
	if !c.do("BEGIN", nil) {
		return false
	}
	for _, step := range steps {
		clock.Sleep(c.ctx, time.Duration(c.rng.Int64N(int64(2*statementInterval))))
		if !step() {
			return false
		}
	}
	return c.do(end, nil)
}
