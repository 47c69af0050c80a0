// SPDX-License-Identifier: Apache-2.0

// Package installer brings the engine beside a sidecar to the version that
// the operator named last.
//
// Every sidecar draws its own steps from the same records: it fetches the
// version's chunks from the origin and from the other sidecars by the rules
// of package transfer, lays them ready beside the engine, checks them once
// more, and orders the engine to take them. No sidecar is in charge, and
// none waits for another.
//
// Installer.mu covers all tables; no call to another process is made while
// it is held.
package installer

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/transfer"
)

// Digest is the SHA-256 of a chunk.
type Digest [sha256.Size]byte

// Manifest are the digests of a version's chunks.
type Manifest struct {
	Model      string   `json:"model"`
	Version    int      `json:"version"`
	ChunkBytes int      `json:"chunk_bytes"`
	Digests    []Digest `json:"digests"`
}

// Fits reports whether data is chunk n.
func (m *Manifest) Fits(n int, data []byte) bool {
	return n >= 0 && n < len(m.Digests) && sha256.Sum256(data) == m.Digests[n]
}

// EngineState is what the engine says of itself.
type EngineState struct {
	Model string
	// Version is what the engine holds whole, or 0.
	Version int
	// Busy says that an order is under way; Orders counts those taken.
	Busy   bool
	Orders int64
	Queued int
	// Running requests; Pace above 1 is how many times slower than usual.
	Running int
	Pace    float64
}

// Engine is the engine beside the sidecar.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	Put(ctx context.Context, model string, chunk int, data []byte) error
	// Get returns nil for a chunk that does not lie ready.
	Get(ctx context.Context, model string, chunk int) ([]byte, error)
	// Start orders the engine to take what lies ready. With cut, requests
	// that run are broken off; otherwise the engine waits for their end.
	Start(ctx context.Context, model string, version int, cut bool) error
}

// Origin is where weights come from.
type Origin interface {
	Manifest(ctx context.Context, model string, version int) (*Manifest, error)
	Chunk(ctx context.Context, model string, version, chunk int) ([]byte, error)
}

// Peer is another sidecar of the service.
type Peer struct {
	// Box names the sidecar: the IP number of its box.
	Box string
	// Address of its installer, IP:PORT.
	Address string
	Region  string
	Zone    string
}

// Params are the figures of the service.
type Params struct {
	Model      string
	Chunks     int
	ChunkBytes int
	// OriginRate is the origin's link in bytes a second.
	OriginRate float64
	// OriginRegion is the region that the origin is in.
	OriginRegion string
	// Deadline is how long after its naming a version must be everywhere.
	Deadline time.Duration
}

// Settings of an Installer.
type Settings struct {
	Box    string
	Region string
	Zone   string
	// LinkRate is the box's link in bytes a second, or zero if unknown.
	LinkRate float64
}

// Installer is the work of one sidecar. Run it with Run.
type Installer struct {
	settings Settings
	engine   Engine
	origin   Origin
	// peers reads the list of the service's sidecars, this one included.
	peers  func(ctx context.Context) ([]Peer, error)
	client *peerClient
	// up and down keep transfers below the link's rate.
	up, down *pacer
	log      logr.Logger
	metrics  *telemetry.Metrics

	mu      sync.Mutex
	params  Params
	targets []target // by version, the newest last
	state   EngineState
	heard   time.Time // when the engine was heard last
	leaving bool      // nothing new should be sent to the engine
	copies  []*replica
	known   []Peer // the last list
	change  chan struct{}
}

// target is a named version.
type target struct {
	version int
	named   time.Time // zero if that is not known
}

// keptTargets is how many named versions are remembered.
const keptTargets = 3

// replica is this box's copy of a version.
type replica struct {
	manifest *Manifest
	chunks   [][]byte
	held     *bitset.BitSet
	// swarm is nil while nothing is fetched.
	swarm     *transfer.Swarm
	addresses map[string]string
	picker    *transfer.Picker
	bad       int // chunks that did not fit their digests
	fromPeers int
	fromFar   int
	fromSrc   int
}

// keptCopies is how many versions are kept for other sidecars.
const keptCopies = 3

// New returns an Installer; peers reads the list of the service's sidecars.
func New(s Settings, e Engine, o Origin, peers func(context.Context) ([]Peer, error), log logr.Logger, m *telemetry.Metrics) *Installer {
	down := newPacer(s.LinkRate)
	return &Installer{
		settings: s, engine: e, origin: o, peers: peers, log: log, metrics: m,
		client: newPeerClient(down), up: newPacer(s.LinkRate), down: down,
		change: make(chan struct{}),
	}
}

// Configure takes the figures of the service.
func (i *Installer) Configure(p Params) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params == p {
		return
	}
	i.params = p
	i.wakeLocked()
}

// Name takes a named version of the model; named is when, or zero if that is
// not known. The earliest time that is known counts.
func (i *Installer) Name(model string, version int, named time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params.Model != "" && model != i.params.Model {
		return
	}
	for at := range i.targets {
		if t := &i.targets[at]; t.version == version && t.known(named) {
			i.wakeLocked()
		}
	}
	if version <= i.newest().version {
		return
	}
	i.targets = append(i.targets, target{version: version, named: named})
	if len(i.targets) > keptTargets {
		i.targets = i.targets[1:]
	}
	i.log.Info("version named", "model", model, "version", version, "age_unknown", named.IsZero())
	i.wakeLocked()
}

// earlier is by how much two gateways' words of one naming differ without
// saying anything: when they heard of it, and the way of their datagrams.
const earlier = 100 * time.Millisecond

// known takes another word of when the version was named, and reports
// whether that changes anything.
func (t *target) known(named time.Time) bool {
	if named.IsZero() || !t.named.IsZero() && named.After(t.named.Add(-earlier)) {
		return false
	}
	t.named = named
	return true
}

// newest is the version named last; versions begin at 1, which nobody
// names. Installer.mu is held.
func (i *Installer) newest() target {
	if len(i.targets) == 0 {
		return target{version: 1}
	}
	return i.targets[len(i.targets)-1]
}

// wakeLocked wakes who waits for a change; Installer.mu is held.
func (i *Installer) wakeLocked() {
	close(i.change)
	i.change = make(chan struct{})
}

// State returns the engine's state and when it was heard.
func (i *Installer) State() (EngineState, time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state, i.heard
}

// Changing reports whether a newer version than the engine's is named.
func (i *Installer) Changing() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.Version > 0 && i.state.Version < i.newest().version
}

// Heard takes the engine's state.
func (i *Installer) Heard(s EngineState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	old, first := i.state, i.heard.IsZero()
	i.state = s
	i.heard = time.Now()
	if first || old.Version != s.Version || old.Busy != s.Busy || old.Orders != s.Orders {
		i.log.Info("engine changed", "model", s.Model, "version", s.Version, "busy", s.Busy, "orders", s.Orders)
		i.wakeLocked()
	}
}

// Timing of an Installer.
const (
	// keepEvery is how often an idle installer looks whether it has what
	// other sidecars may ask for.
	keepEvery = time.Second
	// retryPause is slept after a step that failed; between two tries to
	// obtain a version it is longer by up to as much.
	retryPause = 250 * time.Millisecond
	// fetchRound bounds one look at the list of peers; after it the list is
	// read again.
	fetchRound = 6 * time.Second
	// startWait is how long a start may take before it is ordered again.
	startWait = 3 * time.Second
)

// Run works until ctx ends.
func (i *Installer) Run(ctx context.Context) {
	go i.starts(ctx)
	for ctx.Err() == nil {
		w, change := i.wanted()
		wait := keepEvery
		if w.version != 0 {
			if i.obtain(ctx, w) {
				continue
			}
			wait = retryPause + rand.N(retryPause)
		}
		select {
		case <-change:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// want is a version to be fetched.
type want struct {
	params  Params
	version int
	// only says that the engine has the version: what lies ready is kept for
	// others, and nothing is fetched.
	only bool
}

// nearlyWhole is the share of an older version's chunks from which on it is
// fetched to the end before a newer one is begun.
const nearlyWhole = 0.6

// wanted returns what is to be fetched now, with version 0 for nothing.
func (i *Installer) wanted() (want, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params.Chunks == 0 || i.heard.IsZero() {
		return want{}, i.change
	}
	w := want{params: i.params, version: i.newest().version}
	for _, t := range i.targets {
		r := i.copyOf(t.version)
		if r == nil || t.version <= i.state.Version || r.whole() {
			continue
		}
		if float64(r.held.Count()) >= nearlyWhole*float64(len(r.chunks)) {
			w.version = t.version
			break
		}
	}
	w.only = i.state.Version >= w.version
	if r := i.copyOf(w.version); r != nil && (w.only || r.whole()) {
		return want{}, i.change
	}
	return w, i.change
}

// whole reports whether all chunks are held; Installer.mu is held.
func (r *replica) whole() bool { return int(r.held.Count()) == len(r.chunks) }

// copyOf returns the copy of a version, or nil; Installer.mu is held.
func (i *Installer) copyOf(version int) *replica {
	for _, r := range i.copies {
		if r.manifest.Version == version {
			return r
		}
	}
	return nil
}

// obtain fetches w until it is whole or something else is wanted.
func (i *Installer) obtain(ctx context.Context, w want) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go i.whileWanted(ctx, cancel, w)
	r := i.open(ctx, w)
	if r == nil {
		return false
	}
	if w.only {
		return true
	}
	if !i.fetch(ctx, w, r) {
		return false
	}
	i.mu.Lock()
	i.wakeLocked()
	i.mu.Unlock()
	return true
}

// whileWanted cancels when w is no longer wanted.
func (i *Installer) whileWanted(ctx context.Context, cancel context.CancelFunc, w want) {
	for ctx.Err() == nil {
		now, change := i.wanted()
		if now.version != w.version || now.only != w.only {
			cancel()
			return
		}
		select {
		case <-change:
		case <-ctx.Done():
		}
	}
}

// replica returns the copy of a version, or nil.
func (i *Installer) replica(version int) *replica {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.copyOf(version)
}

// open returns the copy of w's version, with what lies ready beside the
// engine already.
func (i *Installer) open(ctx context.Context, w want) *replica {
	if r := i.replica(w.version); r != nil {
		return r
	}
	m := i.manifest(ctx, w)
	if m == nil {
		return nil
	}
	r := newReplica(m, i.settings.Box)
	i.readStage(ctx, r)
	i.log.Info("copy opened", "version", w.version, "held", r.held.Count(), "chunks", len(r.chunks))
	i.mu.Lock()
	defer i.mu.Unlock()
	i.copies = append(i.copies, r)
	if len(i.copies) > keptCopies {
		i.copies = slices.Delete(i.copies, 0, len(i.copies)-keptCopies)
	}
	return r
}

// newReplica returns an empty copy at box.
func newReplica(m *Manifest, box string) *replica {
	return &replica{
		manifest: m,
		chunks:   make([][]byte, len(m.Digests)),
		held:     bitset.New(uint(len(m.Digests))),
		picker:   transfer.NewPicker(len(m.Digests), xxhash.Sum64String(box)),
	}
}

// readStage takes the chunks that lie ready and fit.
func (i *Installer) readStage(ctx context.Context, r *replica) {
	for n := range r.chunks {
		data, err := i.engine.Get(ctx, r.manifest.Model, n)
		if err != nil {
			return
		}
		if r.manifest.Fits(n, data) {
			r.chunks[n] = data
			r.held.Set(uint(n))
			continue
		}
		if n == 0 && data != nil {
			return // another version lies there
		}
	}
}

// manifest asks the peers of the own region first, then the origin.
func (i *Installer) manifest(ctx context.Context, w want) *Manifest {
	i.mu.Lock()
	peers := slices.Clone(i.known)
	i.mu.Unlock()
	for _, p := range nearest(peers, i.settings, manifestPeers) {
		if m, err := i.client.manifest(ctx, p, w.params.Model, w.version); err == nil && len(m.Digests) == w.params.Chunks {
			return m
		}
	}
	m, err := i.origin.Manifest(ctx, w.params.Model, w.version)
	if err != nil {
		i.log.Info("manifest not had", "version", w.version, "error", err.Error())
		return nil
	}
	if len(m.Digests) != w.params.Chunks {
		i.log.Info("manifest does not fit", "version", w.version, "digests", len(m.Digests), "chunks", w.params.Chunks)
		return nil
	}
	return m
}

// manifestPeers is how many peers are asked for a manifest.
const manifestPeers = 2

// nearest returns up to n peers of the own region, other than this box.
func nearest(peers []Peer, s Settings, n int) []Peer {
	var out []Peer
	for _, p := range peers {
		if p.Box != s.Box && p.Region == s.Region {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int {
		x, y := xxhash.Sum64String(s.Box+a.Box), xxhash.Sum64String(s.Box+b.Box)
		if x < y {
			return -1
		}
		return 1
	})
	return out[:min(n, len(out))]
}
