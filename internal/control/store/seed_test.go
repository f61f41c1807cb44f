package store_test

import "flag"

// A fixed seed gives the same verdict each time; -rapid.seed=N on the command line goes before.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
