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

	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/internal/stall"
	"github.com/mintlift/mintlift/internal/tcpconn"
	"github.com/mintlift/mintlift/peer"
	"github.com/mintlift/mintlift/transfer"
)

// Errors of calls to another sidecar.
const (
	errNoUsefulChunk  = errors.ConstError("peer has no chunk that is missing here")
	errBusy           = errors.ConstError("peer is busy")
	errChunkNotNeeded = errors.ConstError("chunk is already held or in flight")
	errNoReplica      = errors.ConstError("peer has no replica of the version")
)

// URL path patterns of calls between sidecars.
const (
	pathPull     = "/weights/{model}/{version}/pull"
	pathHeld     = "/weights/{model}/{version}/held"
	pathManifest = "/weights/{model}/{version}/manifest"
)

// weightsPath returns the URL path of a call between sidecars.
func weightsPath(model string, version int, call string) string {
	return fmt.Sprintf("/weights/%s/%d/%s", model, version, call)
}

// Limits of calls between sidecars.
const (
	peerDialTimeout = 400 * time.Millisecond
	peerIdleTimeout = 5 * time.Second // of a connection without calls
	heldTimeout     = 200 * time.Millisecond
	// maxManifestBytes bounds the body of a pull request and of a response other than
	// a chunk.
	maxManifestBytes = 4 << 20
	maxChunkBytes    = 16 << 20
	// maxQueuedUploads is the maximum number of pulls that wait for one of the
	// maxUploads concurrent uploads to end.
	maxQueuedUploads = 3
	// maxUploads is the maximum number of concurrent uploads. Like pulls, uploads share
	// the box's link with the engine, and delay its responses if the link is slow.
	maxUploads = 3
)

// peerClient calls other sidecars.
type peerClient struct {
	client *http.Client
	// pacer limits the rate at which chunks are received.
	pacer *pacer
}

// newPeerClient returns a client that opens connections by n and receives chunks at the
// rate of down.
func newPeerClient(n network.Network, down *pacer) *peerClient {
	return &peerClient{pacer: down, client: &http.Client{Transport: &http.Transport{
		DialContext: n.Dialer(peerDialTimeout, tcpconn.ProbeLater), IdleConnTimeout: peerIdleTimeout, MaxIdleConnsPerHost: 2, DisableCompression: true,
		MaxResponseHeaderBytes: network.MaxResponseHeadBytes,
	}}}
}

// manifest fetches a version's manifest from a peer, which may hold the request
// until it has one.
func (c *peerClient) manifest(ctx context.Context, p Peer, model string, version int, timeout time.Duration) (*Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, _, err := c.get(ctx, p.Address, weightsPath(model, version, "manifest"))
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

// get sends a GET request and returns the body and the header of the response. The
// header is returned with errNoReplica, too.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxManifestBytes))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return body, response.Header, nil
	case http.StatusNotFound:
		return nil, response.Header, errNoReplica
	default:
		return nil, nil, errors.Errorf("%s: status %d", path, response.StatusCode)
	}
}

// held asks a peer which chunks of a version it holds. A peer without a replica of
// the version is not an error; the bitmaps of the result are then nil.
func (c *peerClient) held(ctx context.Context, address string, m *Manifest) (transfer.Availability, error) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	_, header, err := c.get(ctx, address, weightsPath(m.Model, m.Version, "held"))
	if err != nil && !errors.Is(err, errNoReplica) {
		return transfer.Availability{}, err
	}
	return peer.ParseAvailability(header, len(m.Digests)), nil
}

// pull requests a chunk from a peer. If chunk is -1, the peer selects any chunk that
// is not in has. accept is called with the number of the offered chunk before its
// bytes are read; if it returns false, pull returns errChunkNotNeeded. Before that, each
// of announced is called with the availability of the peer, if it responds. pull returns
// stall.ErrStalled if the first byte does not arrive within firstByteTimeout, or a
// later byte within stallTimeout of the previous one.
func (c *peerClient) pull(ctx context.Context, address, self string, m *Manifest, chunk int, has *bitset.BitSet, firstByteTimeout, stallTimeout time.Duration, accept func(int) bool, announced ...func(transfer.Availability)) (transfer.Availability, []byte, error) {
	ctx, guard := stall.New(ctx, firstByteTimeout, stallTimeout)
	defer guard.Stop()
	availability, data, err := c.pullOnce(ctx, address, self, m, chunk, has, accept, guard, announced)
	return availability, data, stall.Cause(ctx, err)
}

// pullOnce is pull without its timeouts. It reports received bytes to guard, which
// cancels ctx on a timeout.
func (c *peerClient) pullOnce(ctx context.Context, address, self string, m *Manifest, chunk int, has *bitset.BitSet, accept func(int) bool, guard *stall.Guard, announced []func(transfer.Availability)) (transfer.Availability, []byte, error) {
	var availability transfer.Availability
	body, err := json.Marshal(peer.PullRequest{Box: self, Chunk: chunk, Has: peer.EncodeBits(has)})
	if err != nil {
		return availability, nil, errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+weightsPath(m.Model, m.Version, "pull"), bytes.NewReader(body))
	if err != nil {
		return availability, nil, errors.Trace(err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return availability, nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	availability = peer.ParseAvailability(response.Header, len(m.Digests))
	for _, announce := range announced {
		announce(availability)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent, http.StatusNotFound:
		return availability, nil, errNoUsefulChunk
	case http.StatusTooManyRequests:
		return availability, nil, errBusy
	default:
		return availability, nil, errors.Errorf("pull: status %d", response.StatusCode)
	}
	number, err := strconv.Atoi(response.Header.Get(peer.HeaderChunk))
	if err != nil {
		return availability, nil, errors.Annotate(err, "invalid chunk number in pull response")
	}
	if !accept(number) {
		return availability, nil, errChunkNotNeeded
	}
	paced := &pacedReader{ctx: ctx, from: guard.Reader(response.Body), pacer: c.pacer}
	data, err := io.ReadAll(io.LimitReader(paced, maxChunkBytes))
	return availability, data, err
}

// Handler returns the HTTP handler for the calls of other sidecars.
func (i *Installer) Handler() http.Handler {
	u := &uploads{
		installer:    i,
		slots:        make(chan struct{}, maxUploads),
		queue:        make(chan struct{}, maxUploads+maxQueuedUploads),
		chunkWaiters: make(chan struct{}, maxChunkWaiters),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathManifest, i.serveManifest)
	mux.HandleFunc("GET "+pathHeld, i.serveHeld)
	mux.HandleFunc("POST "+pathPull, u.servePull)
	return mux
}

// requestedReplica returns the replica of the model and version in the path of r,
// or nil.
func (i *Installer) requestedReplica(r *http.Request) *replica {
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

// serveHeld responds with the bitmaps of the chunks held, in the headers that
// peer.SetAvailability sets, or with status 404 if there is no replica.
func (i *Installer) serveHeld(w http.ResponseWriter, r *http.Request) {
	found := i.requestedReplica(r)
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	i.mu.Lock()
	availability := found.availability()
	i.mu.Unlock()
	peer.SetAvailability(w.Header(), availability)
	w.WriteHeader(http.StatusOK)
}
