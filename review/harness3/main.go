// Command harness3 plays the scripts of the third review: the project's own programs as processes, with stand-ins for
// servers, clients and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// current is the record of the run.
var current *recorder

var cases = map[string]func(rec *recorder, trouble bool){}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fail(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { fail(fmt.Errorf("ended by %s", <-signals)) }()
	current = rec
	cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if len(rec.breaks) > 0 {
		fmt.Printf("broken %d times; the first: %s\n", len(rec.breaks), rec.breaks[0])
		os.Exit(1)
	}
	fmt.Println("held")
}
