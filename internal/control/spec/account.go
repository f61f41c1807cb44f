package spec

import (
	"crypto/sha256"
	"encoding/base64"
)

// KeyDigest is the digest of a key, in base64. Hosts compare digests, so that keys are neither
// distributed nor logged.
type KeyDigest string

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(base64.RawStdEncoding.EncodeToString(sum[:]))
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
