// SPDX-License-Identifier: Apache-2.0

// Package weights describes model weights: what a version is made of, and
// how far one box has come with its copy.
//
// A Manifest lists a version's chunks with their digests. A plan pins the
// digest of the manifest itself, so one digest in the log vouches for every
// byte that a box loads. A Copy is the aggregate that moves one box's copy
// through its states; it accepts a chunk only after the chunk's digest has
// been checked, and becomes loadable only when all chunks have.
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

// Errors that a Manifest or a Copy reports.
const (
	// ErrBadManifest says that a manifest contradicts itself or its digest.
	ErrBadManifest = errors.ConstError("manifest is not valid")
	// ErrBadChunk says that a chunk's bytes do not match its digest.
	ErrBadChunk = errors.ConstError("chunk does not match its digest")
	// ErrBadMove says that a copy cannot go from its state to the one asked for.
	ErrBadMove = errors.ConstError("copy cannot make this move")
)

// MaxChunks bounds the chunks of one version, and with it the size of a
// bitmap that travels with each pull.
const MaxChunks = 16384

// Ref names a version of a model, or of an adapter when Model has the form
// "base+adapter".
type Ref struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// String returns "model@version".
func (r Ref) String() string { return r.Model + "@" + r.Version }

// ParseRef reads "model@version".
func ParseRef(s string) (Ref, error) {
	model, version, ok := strings.Cut(s, "@")
	r := Ref{Model: model, Version: version}
	if !ok || !r.Valid() {
		return Ref{}, errors.NotValidf("version %q (want model@version, letters, digits, '.', '+', '_' and '-')", s)
	}
	return r, nil
}

// Valid reports whether both names are usable in a path.
func (r Ref) Valid() bool { return validName(r.Model) && validName(r.Version) }

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

// Digest is a SHA-256 sum in lower-case hexadecimal.
type Digest string

// Sum returns the digest of b.
func Sum(b []byte) Digest {
	s := sha256.Sum256(b)
	return Digest(hex.EncodeToString(s[:]))
}

// Manifest lists the chunks of one version.
type Manifest struct {
	Ref
	// Bytes is the size of the whole version.
	Bytes int64 `json:"bytes"`
	// ChunkBytes is the size of each chunk but the last, which may be shorter.
	ChunkBytes int64 `json:"chunk_bytes"`
	// Chunks holds one digest a chunk, in order.
	Chunks []Digest `json:"chunks"`
}

// Digest returns the digest of the manifest's canonical JSON.
func (m *Manifest) Digest() Digest {
	b, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("weights: manifest does not marshal: %v", err)) // plain fields always marshal
	}
	return Sum(b)
}

// Validate reports the first contradiction in m.
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

// Size returns the bytes of chunk i.
func (m *Manifest) Size(i int) int64 {
	return min(m.ChunkBytes, m.Bytes-int64(i)*m.ChunkBytes)
}

// CheckSum reports ErrBadChunk unless a chunk of this size and digest is
// chunk i.
func (m *Manifest) CheckSum(i int, size int64, sum Digest) error {
	if i < 0 || i >= len(m.Chunks) {
		return errors.WithType(errors.Errorf("%s has no chunk %d", m.Ref, i), ErrBadChunk)
	}
	if size != m.Size(i) || sum != m.Chunks[i] {
		return errors.WithType(errors.Errorf("chunk %d of %s", i, m.Ref), ErrBadChunk)
	}
	return nil
}

// Hasher sums what is written to it. Use NewHasher.
type Hasher struct {
	hash hash.Hash
	n    int64
}

// NewHasher returns a hasher that has seen nothing.
func NewHasher() *Hasher { return &Hasher{hash: sha256.New()} }

// Write implements io.Writer; it never fails.
func (h *Hasher) Write(b []byte) (int, error) {
	h.n += int64(len(b))
	return h.hash.Write(b)
}

// Written returns the number of bytes seen.
func (h *Hasher) Written() int64 { return h.n }

// Digest returns the digest of the bytes seen.
func (h *Hasher) Digest() Digest { return Digest(hex.EncodeToString(h.hash.Sum(nil))) }

// ParseManifest reads a manifest and checks it against the digest that pins
// it. An empty pin accepts any valid manifest: only a planner does that.
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
