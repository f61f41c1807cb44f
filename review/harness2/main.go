// Command harness2 plays the scripted cases of the second review: it starts the project's own programs as
// separate processes on loopback addresses, and stands in for clients, database instances and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit bounds one case; a case that takes longer could not run.
const playLimit = 112 * time.Second

// cases are the functions that play a case. They return whether the rule held, and an error if the case could
// not run.
var cases = map[string]func(p *play) (held bool, err error){
	"lost-commit":  playLostCommit,
	"large-answer": playLargeAnswer,
	"drain-answer": playDrainAnswer,
}

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "target/agatespindle-node", "host program, as the deploy file starts it")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	fn, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		return exitNotRun
	}
	p, err := newPlay(*program, *record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := fn(p)
		done <- result{held, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(playLimit):
		r.err = fmt.Errorf("case took longer than %s", playLimit)
	case <-signals:
		r.err = fmt.Errorf("interrupted")
	}
	p.close()
	switch {
	case r.err != nil:
		p.record("could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "could not run:", r.err)
		return exitNotRun
	case r.held:
		p.record("result: the rule held")
		return exitHeld
	}
	p.record("result: the rule was broken")
	return exitBroken
}
