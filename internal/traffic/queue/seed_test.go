package queue_test

import "flag"

// A fixed seed makes runs repeatable; -rapid.seed=N on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
