// SPDX-License-Identifier: Apache-2.0

// Package workspace defines workspaces, operators and the API keys that
// authenticate them. Only hashes of keys are stored.
package workspace

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/juju/errors"
)

// Bounds of a workspace's settings.
const (
	MinPriority = 1
	MaxPriority = 100
	// MaxConcurrent is the largest value of Workspace.MaxInFlight.
	MaxConcurrent = 100000
)

// Workspace is a customer with its API key, priority and limits.
type Workspace struct {
	// Name identifies the workspace.
	Name string `json:"name"`
	// KeyHash is the hash of the API key that its requests carry.
	KeyHash KeyHash `json:"key_hash"`
	// Priority is from MinPriority to MaxPriority. Workspaces with a higher priority
	// receive weights and capacity first.
	Priority int `json:"priority"`
	// MaxInFlight is the maximum number of the workspace's requests in flight at each
	// gateway; 0 means that only the gateway's own limit applies.
	MaxInFlight int `json:"max_in_flight"`
	// Floor is the minimum number of boxes that must keep serving the workspace
	// during the rollout of a plan.
	Floor int `json:"floor"`
}

// Validate returns an error of type errors.NotValid for the first invalid field.
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

// Operator is a user of the administration API.
type Operator struct {
	Name    string  `json:"name"`
	KeyHash KeyHash `json:"key_hash"`
}

// KeyHash is the hexadecimal SHA-256 sum of a prefixed key. A fast hash suffices
// because keys are long and random.
type KeyHash string

// HashKey returns the hash of a plaintext key.
func HashKey(key string) KeyHash {
	s := sha256.Sum256([]byte("mintlift key " + key))
	return KeyHash(hex.EncodeToString(s[:]))
}

// Matches reports whether h is the hash of key. It compares in constant time.
func (h KeyHash) Matches(key string) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(HashKey(key))) == 1
}
