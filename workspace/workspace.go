// SPDX-License-Identifier: Apache-2.0

// Package workspace holds the paying workspaces and the operators: who they
// are, what they pay for, and how a key proves it. Keys are kept as hashes;
// the plain key exists only with its owner.
package workspace

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/juju/errors"
)

// Bounds of a workspace's values.
const (
	MinPriority   = 1
	MaxPriority   = 100
	MaxConcurrent = 100000
)

// Workspace is a paying customer.
type Workspace struct {
	// Name identifies the workspace.
	Name string `json:"name"`
	// KeyHash is the hash of the key that its requests carry.
	KeyHash KeyHash `json:"key_hash"`
	// Priority is the price class, MinPriority to MaxPriority; a higher one
	// gets weights and capacity first.
	Priority int `json:"priority"`
	// MaxInFlight bounds its requests in progress at one gateway; 0 leaves
	// only the gateway's own bound.
	MaxInFlight int `json:"max_in_flight"`
	// Floor is the least number of boxes that must go on serving it while a
	// plan rolls over.
	Floor int `json:"floor"`
}

// Validate reports the first value out of bounds.
func (w *Workspace) Validate() error {
	switch {
	case w.Name == "":
		return errors.NotValidf("workspace without a name")
	case w.KeyHash == "":
		return errors.NotValidf("workspace %q without a key", w.Name)
	case w.Priority < MinPriority || w.Priority > MaxPriority:
		return errors.NotValidf("workspace %q: priority %d (want %d to %d)", w.Name, w.Priority, MinPriority, MaxPriority)
	case w.MaxInFlight < 0 || w.MaxInFlight > MaxConcurrent:
		return errors.NotValidf("workspace %q: max_in_flight %d (want 0 to %d)", w.Name, w.MaxInFlight, MaxConcurrent)
	case w.Floor < 0:
		return errors.NotValidf("workspace %q: floor %d (want 0 or more)", w.Name, w.Floor)
	}
	return nil
}

// Operator may use the administration API.
type Operator struct {
	Name    string  `json:"name"`
	KeyHash KeyHash `json:"key_hash"`
}

// KeyHash is the hexadecimal SHA-256 sum of a key. Keys are random and
// long, so a plain sum is as good as a slow one and costs a request nothing.
type KeyHash string

// HashKey returns the hash of a plain key.
func HashKey(key string) KeyHash {
	s := sha256.Sum256([]byte("mintlift key " + key))
	return KeyHash(hex.EncodeToString(s[:]))
}

// Matches compares in constant time.
func (h KeyHash) Matches(key string) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(HashKey(key))) == 1
}
