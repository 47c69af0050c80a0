// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/juju/errors"
)

// identityBytes is the length of an ID, which is a truncated SHA-256. It is long enough
// that a caller cannot construct a request with the ID of another caller's request.
const identityBytes = 16

// ID identifies a trait. For that of a single request, it depends on the caller's workspace
// and the content: all attempts and retries of the request have the same ID, at every gateway.
type ID [identityBytes]byte

// Request holds the properties that identify a request.
type Request struct {
	Method string
	// Host and Target are those that the caller sent. Upper and lower case in Host
	// make no difference.
	Host, Target string
	// Workspace is the caller's workspace; empty on public routes.
	Workspace string
	Body      []byte
}

// Identify returns the ID of the request.
func Identify(r Request) ID {
	h := sha256.New()
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.Target, r.Workspace} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // hash.Hash never returns an error
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(r.Body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return ID(sum[:identityBytes])
}

func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText encodes the ID in hex.
func (id ID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText decodes an ID in hex.
func (id *ID) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(id) {
		return errors.NotValidf("identity %q", text)
	}
	_, err := hex.Decode(id[:], text)
	return errors.Trace(err)
}
