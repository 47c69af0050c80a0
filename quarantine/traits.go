// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
)

const (
	// maxParts bounds the parts of a prompt that are traits of its request. Further ones
	// are ignored.
	maxParts = 16
	// maxPartName is the maximum length of the name of a part, in bytes. Longer ones are
	// ignored.
	maxPartName = 64
)

// Traits are the properties of a request by which it may crash endpoints.
type Traits struct {
	// Identity is shared only by the attempts and retries of the request.
	Identity ID
	// Parts are shared by the requests whose prompts have a part in common, in the order
	// of the prompt.
	Parts []Part
}

// Part is a part of a prompt that other requests may have in common.
type Part struct {
	ID ID
	// Name is the caller's name of the part, in lower case.
	Name string
}

// Parts returns the parts in a list "NAME:TOKENS,..." of the parts of a prompt for a model.
// Names are in hex. The last part is left out, since it is the request's own. So are
// malformed and repeated ones, and those beyond maxParts.
func Parts(model, list string) []Part {
	var out []Part
	for len(out) < maxParts {
		element, rest, more := strings.Cut(list, ",")
		if !more {
			break
		}
		list = rest
		name, _, _ := strings.Cut(strings.TrimSpace(element), ":")
		if !validPartName(name) {
			continue
		}
		name = strings.ToLower(name)
		if !hasPart(out, name) {
			out = append(out, Part{ID: partID(model, name), Name: name})
		}
	}
	return out
}

// validPartName reports whether name is a hex number of at most maxPartName digits.
func validPartName(name string) bool {
	if name == "" || len(name) > maxPartName {
		return false
	}
	for _, c := range []byte(name) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// hasPart reports whether a part has the given name.
func hasPart(parts []Part, name string) bool {
	for _, p := range parts {
		if p.Name == name {
			return true
		}
	}
	return false
}

// partID returns the ID of a part of prompts for a model.
func partID(model, name string) ID {
	// The domain is longer than any length that Identify writes first, so that no request
	// has the ID of a part.
	const domain = "\xff\xffpart\xff\xff"
	buffer := make([]byte, 0, len(domain)+8+128)
	buffer = append(buffer, domain...)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(len(model)))
	buffer = append(buffer, model...)
	buffer = append(buffer, name...)
	sum := sha256.Sum256(buffer)
	return ID(sum[:identityBytes])
}

// at returns the n-th trait, the identity first.
func (t Traits) at(n int) ID {
	if n == 0 {
		return t.Identity
	}
	return t.Parts[n-1].ID
}

// len returns the number of traits.
func (t Traits) len() int { return 1 + len(t.Parts) }

// PartName returns the name of the part with the given ID, or "" if there is none.
func (t Traits) PartName(id ID) string {
	for _, p := range t.Parts {
		if p.ID == id {
			return p.Name
		}
	}
	return ""
}
