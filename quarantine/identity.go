// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/juju/errors"
)

// identityBytes is the length of an ID. 128 bits of SHA-256 leave nobody a way
// to build a request that is taken for another caller's, which a checksum
// without a key would.
const identityBytes = 16

// ID tells a request from all others, whichever try, connection or gateway it
// comes by: by its caller and what an endpoint gets to see of it.
type ID [identityBytes]byte

// Request is what identifies a request.
type Request struct {
	Method string
	// Host and Target are as the caller wrote them; the case of Host does not
	// count.
	Host, Target string
	// Workspace is the caller's, empty on public routes.
	Workspace string
	Body      []byte
}

// Identify returns the ID of the request.
func Identify(r Request) ID {
	h := sha256.New()
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.Target, r.Workspace} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // a hash takes everything
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(r.Body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return ID(sum[:identityBytes])
}

func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText writes the ID in hex.
func (id ID) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, id[:]), nil }

// UnmarshalText reads an ID in hex.
func (id *ID) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(id) {
		return errors.NotValidf("identity %q", text)
	}
	_, err := hex.Decode(id[:], text)
	return errors.Trace(err)
}
