package store_test

import "flag"

// A fixed seed makes test runs reproducible. The flag -rapid.seed=N overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
