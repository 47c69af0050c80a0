// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// packsKept is how many states a packer keeps: askers stand at the last one
	// or two, or begin.
	packsKept = 4
	// maxUnpacked bounds what an answer may unpack to, in bytes.
	maxUnpacked = 64 << 20
)

// packer encodes and compresses, once a state, what all gateways of a region
// ask for at the same moment. With a hundred of them and 3,000 endpoints, or a
// configuration of many routes, encoding for each took most of a call's time
// and filled the reader's link, so that all went to the store. It is safe for
// concurrent use.
type packer struct {
	mu    sync.Mutex
	packs map[string][]byte
}

// pack returns v packed; key names its state.
func (p *packer) pack(key string, v any) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if packed, ok := p.packs[key]; ok {
		return packed, nil
	}
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := json.NewEncoder(z).Encode(v); err != nil {
		return nil, errors.Trace(err)
	}
	if err := z.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	if p.packs == nil || len(p.packs) >= packsKept {
		p.packs = make(map[string][]byte, packsKept)
	}
	p.packs[key] = out.Bytes()
	return out.Bytes(), nil
}

// unpack decodes what pack made; nothing packed leaves v as it is.
func unpack(packed []byte, v any) error {
	if len(packed) == 0 {
		return nil
	}
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(z, maxUnpacked)).Decode(v))
}
