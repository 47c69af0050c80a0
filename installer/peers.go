// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/internal/stall"
	"github.com/mintlift/mintlift/internal/tcpconn"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/transfer"
)

// Errors of a pull from another sidecar.
const (
	errNothing = errors.ConstError("peer has nothing of use")
	errBusy    = errors.ConstError("peer is busy")
	errTaken   = errors.ConstError("chunk is held or on its way already")
	errNotHeld = errors.ConstError("peer has no copy of the version")
)

// Paths between sidecars: model and version follow.
const (
	pathPull     = "/weights/{model}/{version}/pull"
	pathHeld     = "/weights/{model}/{version}/held"
	pathManifest = "/weights/{model}/{version}/manifest"
)

func pathOf(model string, version int, call string) string {
	return fmt.Sprintf("/weights/%s/%d/%s", model, version, call)
}

// Bounds of calls between sidecars.
const (
	peerDial      = 400 * time.Millisecond
	peerIdle      = 5 * time.Second
	heldTimeout   = 200 * time.Millisecond
	maxManifest   = 4 << 20
	maxChunkBytes = 16 << 20
	// uploadsWaiting may wait for one of uploadsAtOnce.
	uploadsWaiting = 3
	// uploadsAtOnce bounds the chunks that are sent at once, for the same
	// reason as pullsAtOnce.
	uploadsAtOnce = 3
)

// peerClient calls other sidecars.
type peerClient struct {
	client *http.Client
	down   *pacer
}

func newPeerClient(down *pacer) *peerClient {
	dialer := tcpconn.Dialer(peerDial, tcpconn.ProbeLater)
	return &peerClient{down: down, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: peerIdle, MaxIdleConnsPerHost: 2, DisableCompression: true,
	}}}
}

// manifest asks a peer for a version's digests; it may wait until it has them.
func (c *peerClient) manifest(ctx context.Context, p Peer, model string, version int, wait time.Duration) (*Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	body, _, err := c.get(ctx, p.Address, pathOf(model, version, "manifest"))
	if err != nil {
		return nil, err
	}
	var m Manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, errors.Trace(err)
	}
	if m.Model != model || m.Version != version {
		return nil, errors.NotValidf("manifest of %s %d", m.Model, m.Version)
	}
	return &m, nil
}

func (c *peerClient) get(ctx context.Context, address, path string) ([]byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxManifest))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return body, response.Header, nil
	case http.StatusNotFound:
		return nil, response.Header, errNotHeld
	default:
		return nil, nil, errors.Errorf("%s: status %d", path, response.StatusCode)
	}
}

// held asks a peer what it holds of a version; one without a copy holds
// nothing.
func (c *peerClient) held(ctx context.Context, address string, m *Manifest) (transfer.Knowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	_, header, err := c.get(ctx, address, pathOf(m.Model, m.Version, "held"))
	if err != nil && !errors.Is(err, errNotHeld) {
		return transfer.Knowledge{}, err
	}
	return peer.KnowledgeOf(header, len(m.Digests)), nil
}

// pull asks a peer for a chunk, or for any if chunk is -1. offered is asked
// whether the chunk is still wanted before its bytes are read. The answer may
// take first to begin, and stop for limit.
func (c *peerClient) pull(ctx context.Context, address, self string, m *Manifest, chunk int, has *bitset.BitSet, first, limit time.Duration, offered func(int) bool) (transfer.Knowledge, []byte, error) {
	ctx, guard := stall.New(ctx, first, limit)
	defer guard.Stop()
	know, data, err := c.pullOnce(ctx, address, self, m, chunk, has, offered, guard)
	return know, data, stall.Cause(ctx, err)
}

func (c *peerClient) pullOnce(ctx context.Context, address, self string, m *Manifest, chunk int, has *bitset.BitSet, offered func(int) bool, guard *stall.Guard) (transfer.Knowledge, []byte, error) {
	var know transfer.Knowledge
	body, err := json.Marshal(peer.PullRequest{Box: self, Chunk: chunk, Has: peer.EncodeBits(has)})
	if err != nil {
		return know, nil, errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathOf(m.Model, m.Version, "pull"), bytes.NewReader(body))
	if err != nil {
		return know, nil, errors.Trace(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return know, nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	know = peer.KnowledgeOf(response.Header, len(m.Digests))
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent, http.StatusNotFound:
		return know, nil, errNothing
	case http.StatusTooManyRequests:
		return know, nil, errBusy
	default:
		return know, nil, errors.Errorf("pull: status %d", response.StatusCode)
	}
	number, err := strconv.Atoi(response.Header.Get(peer.HeaderChunk))
	if err != nil {
		return know, nil, errors.Annotate(err, "answer names no chunk")
	}
	if !offered(number) {
		return know, nil, errTaken
	}
	paced := &pacedReader{ctx: ctx, from: guard.Reader(response.Body), pacer: c.down}
	data, err := io.ReadAll(io.LimitReader(paced, maxChunkBytes))
	return know, data, err
}

// Handler serves other sidecars.
func (i *Installer) Handler() http.Handler {
	u := &uploads{
		installer: i,
		slots:     make(chan struct{}, uploadsAtOnce),
		waiting:   make(chan struct{}, uploadsAtOnce+uploadsWaiting),
		holding:   make(chan struct{}, chunksHeldFor),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathManifest, i.serveManifest)
	mux.HandleFunc("GET "+pathHeld, i.serveHeld)
	mux.HandleFunc("POST "+pathPull, u.servePull)
	return mux
}

func (i *Installer) replicaOf(r *http.Request) *replica {
	version, err := strconv.Atoi(r.PathValue("version"))
	if err != nil {
		return nil
	}
	found := i.replica(version)
	if found == nil || found.manifest.Model != r.PathValue("model") {
		return nil
	}
	return found
}

func (i *Installer) serveHeld(w http.ResponseWriter, r *http.Request) {
	found := i.replicaOf(r)
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	i.mu.Lock()
	know := found.knowledge()
	i.mu.Unlock()
	peer.SetKnowledge(w.Header(), know)
	w.WriteHeader(http.StatusOK)
}
