// SPDX-License-Identifier: Apache-2.0

// Package weights describes the chunks of a version of a model's weights and the
// state of a box's copy of them.
//
// A Manifest lists a version's chunks with their digests. The plan of a rollout,
// which is stored in the event log, includes the digest of the manifest. So every byte
// that a box loads can be verified by the plan alone. A Copy is the state machine of one
// box's copy of a version. It accepts a chunk only if the digest matches, and can be
// loaded only when it holds all chunks.
//
// The package does no I/O.
package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"strings"

	"github.com/juju/errors"
)

// Errors of manifests and copies, for use with errors.Is.
const (
	// ErrBadManifest means that a manifest is inconsistent or does not match
	// its digest.
	ErrBadManifest = errors.ConstError("manifest is not valid")
	// ErrChunkMismatch means that a chunk's size or digest does not match the
	// manifest.
	ErrChunkMismatch = errors.ConstError("chunk does not match its digest")
	// ErrInvalidTransition means that a Copy is not in a state that allows the
	// requested state transition, such as serving before it is loaded.
	ErrInvalidTransition = errors.ConstError("copy cannot make this move")
)

// MaxChunks is the maximum number of chunks of a version. It bounds the size of
// the bitmaps that are sent with each pull.
const MaxChunks = 16384

// Ref identifies a version of a model. If Model has the form "base+adapter", it is a
// version of that adapter to the base model.
type Ref struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// String returns "model@version".
func (r Ref) String() string { return r.Model + "@" + r.Version }

// ParseRef parses the form "model@version" that String returns.
func ParseRef(s string) (Ref, error) {
	model, version, ok := strings.Cut(s, "@")
	r := Ref{Model: model, Version: version}
	if !ok || !r.Valid() {
		return Ref{}, errors.NotValidf("version %q (want model@version, letters, digits, '.', '+', '_' and '-')", s)
	}
	return r, nil
}

// Valid reports whether both names can be used in a path: 1 to 128 letters,
// digits, '.', '+', '_' and '-', not starting with '.'.
func (r Ref) Valid() bool { return validName(r.Model) && validName(r.Version) }

// validName reports whether s is valid as either name of a Ref.
func validName(s string) bool {
	if s == "" || len(s) > 128 || s[0] == '.' {
		return false
	}
	for _, c := range s {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune(".+_-", c)
		if !ok {
			return false
		}
	}
	return true
}

// Digest is a SHA-256 digest in lower-case hexadecimal.
type Digest string

// Sum returns the digest of b.
func Sum(b []byte) Digest {
	s := sha256.Sum256(b)
	return Digest(hex.EncodeToString(s[:]))
}

// Manifest lists the chunks of a version.
type Manifest struct {
	Ref
	// Bytes is the total size of the version.
	Bytes int64 `json:"bytes"`
	// ChunkBytes is the size of every chunk except the last, which may be
	// smaller.
	ChunkBytes int64 `json:"chunk_bytes"`
	// Chunks are the digests of the chunks, in order.
	Chunks []Digest `json:"chunks"`
}

// Digest returns the digest of the manifest's canonical JSON.
func (m *Manifest) Digest() Digest {
	b, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("weights: manifest does not marshal: %v", err))
	}
	return Sum(b)
}

// Validate returns ErrBadManifest with the first inconsistency found in m, or
// nil.
func (m *Manifest) Validate() error {
	switch {
	case !m.Valid():
		return errors.WithType(errors.Errorf("manifest names %q", m.Ref), ErrBadManifest)
	case m.Bytes <= 0 || m.ChunkBytes <= 0:
		return errors.WithType(errors.Errorf("manifest of %s has %d bytes in chunks of %d", m.Ref, m.Bytes, m.ChunkBytes), ErrBadManifest)
	case int64(len(m.Chunks)) != (m.Bytes+m.ChunkBytes-1)/m.ChunkBytes:
		return errors.WithType(errors.Errorf("manifest of %s lists %d chunks for %d bytes", m.Ref, len(m.Chunks), m.Bytes), ErrBadManifest)
	case len(m.Chunks) > MaxChunks:
		return errors.WithType(errors.Errorf("manifest of %s lists %d chunks, at most %d", m.Ref, len(m.Chunks), MaxChunks), ErrBadManifest)
	}
	for i, d := range m.Chunks {
		if raw, err := hex.DecodeString(string(d)); err != nil || len(raw) != sha256.Size {
			return errors.WithType(errors.Errorf("manifest of %s has no digest for chunk %d", m.Ref, i), ErrBadManifest)
		}
	}
	return nil
}

// Size returns the size of chunk i in bytes.
func (m *Manifest) Size(i int) int64 {
	return min(m.ChunkBytes, m.Bytes-int64(i)*m.ChunkBytes)
}

// CheckSum returns ErrChunkMismatch if size or sum differs from that of chunk i, or
// if there is no chunk i.
func (m *Manifest) CheckSum(i int, size int64, sum Digest) error {
	if i < 0 || i >= len(m.Chunks) {
		return errors.WithType(errors.Errorf("%s has no chunk %d", m.Ref, i), ErrChunkMismatch)
	}
	if size != m.Size(i) || sum != m.Chunks[i] {
		return errors.WithType(errors.Errorf("chunk %d of %s", i, m.Ref), ErrChunkMismatch)
	}
	return nil
}

// Hasher computes the digest and the size of the bytes written to it. Use
// NewHasher.
type Hasher struct {
	hash hash.Hash
	n    int64
}

// NewHasher returns a Hasher that has read no bytes.
func NewHasher() *Hasher { return &Hasher{hash: sha256.New()} }

// Write implements io.Writer. It never returns an error.
func (h *Hasher) Write(b []byte) (int, error) {
	h.n += int64(len(b))
	return h.hash.Write(b)
}

// Written returns the number of bytes written.
func (h *Hasher) Written() int64 { return h.n }

// Digest returns the digest of the bytes written.
func (h *Hasher) Digest() Digest { return Digest(hex.EncodeToString(h.hash.Sum(nil))) }

// ParseManifest parses and validates a manifest. pin is the digest that the plan has
// for the manifest; it returns ErrBadManifest if the digest differs. If pin is empty,
// the digest is not checked; only the planner, which puts it into the plan, may omit
// it.
func ParseManifest(b []byte, pin Digest) (*Manifest, error) {
	m := new(Manifest)
	if err := json.Unmarshal(b, m); err != nil {
		return nil, errors.WithType(errors.Annotate(err, "manifest is not JSON"), ErrBadManifest)
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	if pin != "" && m.Digest() != pin {
		return nil, errors.WithType(errors.Errorf("manifest of %s has digest %.12s, the plan pins %.12s", m.Ref, m.Digest(), pin), ErrBadManifest)
	}
	return m, nil
}
