package spec

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"math"
	"strings"
	"unicode"
)

// KeyDigest is the digest of a key, in base64. Hosts compare digests, so that keys are neither
// distributed nor logged.
type KeyDigest string

// digestBytes is the length of a digest. Half of a SHA-256 sum is enough that no key can be found for the
// digest of another one, and manifests, which every host receives, hold a digest for each key.
const digestBytes = 16

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(base64.RawStdEncoding.EncodeToString(sum[:digestBytes]))
}

// Account is a client account of a manifest. Its callers identify themselves with one of its keys.
type Account struct {
	Name string      `json:"name"`
	Keys []KeyDigest `json:"keys"`
	// Rate is the number of operations per second that the account may start on all hosts together,
	// and Burst how many it may start at once. A rate of zero means no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Priority orders accounts under load; zero is the most urgent.
	Priority int `json:"rank,omitempty"`
}

// validateAccounts returns all errors in the client accounts of a manifest. Errors name a key by its place.
func validateAccounts(accounts []Account) []FieldError {
	var fieldErrors []FieldError
	add := func(path, text string) { fieldErrors = append(fieldErrors, FieldError{path, text}) }
	names, owners := map[string]bool{}, map[KeyDigest]int{}
	emptyKey := DigestOf("")
	for i, a := range accounts {
		path := fmt.Sprintf("accounts[%d].", i)
		switch {
		case len(a.Name) > maxAccountName || strings.ContainsFunc(a.Name, notInWord):
			// Instances are told the name as one word of a line.
			add(path+"name", fmt.Sprintf("is not a word of at most %d bytes", maxAccountName))
		case a.Name == "" || names[a.Name]:
			add(path+"name", fmt.Sprintf("%q is empty or a duplicate", a.Name))
		}
		names[a.Name] = true
		for j, key := range a.Keys {
			owner, taken := owners[key]
			switch {
			case key == emptyKey:
				add(fmt.Sprintf("%skeys[%d]", path, j), "is empty")
			case taken && owner != i:
				add(fmt.Sprintf("%skeys[%d]", path, j), fmt.Sprintf("is also a key of accounts[%d]", owner))
			}
			owners[key] = i
		}
		rateValid, burstValid := validLimit(a.Rate), validLimit(a.Burst)
		if !rateValid {
			add(path+"rate", "must be a finite number that is not negative")
		}
		if !burstValid {
			add(path+"burst", "must be a finite number that is not negative")
		}
		if rateValid && burstValid && a.Rate > 0 && a.Burst < 1 {
			add(path+"burst", "must be at least one operation if there is a rate")
		}
	}
	return fieldErrors
}

// maxAccountName is the maximum length of an account's name in bytes.
const maxAccountName = 255

// notInWord reports whether a character cannot be part of an account's name.
func notInWord(r rune) bool {
	return unicode.IsSpace(r) || unicode.IsControl(r) || r == unicode.ReplacementChar
}

// validLimit reports whether a number can be a rate or a burst.
func validLimit(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }
