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
	target  int
	named   time.Time // zero if the target was there at the start
	state   EngineState
	heard   time.Time // when the engine was heard last
	leaving bool      // nothing new should be sent to the engine
	copies  []*replica
	known   []Peer // the last list
	change  chan struct{}
}

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
const keptCopies = 2

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

// Name takes the newest named version of the model; first says that it was
// named before the process started.
func (i *Installer) Name(model string, version int, first bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params.Model != "" && model != i.params.Model || version <= i.target {
		return
	}
	i.target = version
	i.named = time.Time{}
	if !first {
		i.named = time.Now()
	}
	i.log.Info("version named", "model", model, "version", version, "age_unknown", first)
	i.wakeLocked()
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

// goal is what is to be done now.
type goal struct {
	params  Params
	version int
	named   time.Time
	change  <-chan struct{}
	// idle says that the engine has the version.
	idle bool
	// empty says that the engine holds nothing whole.
	empty bool
}

func (i *Installer) goal() goal {
	i.mu.Lock()
	defer i.mu.Unlock()
	version := max(i.target, 1) // versions begin at 1, which nobody names
	return goal{
		params:  i.params,
		version: version,
		named:   i.named,
		change:  i.change,
		idle:    i.heard.IsZero() || i.state.Version >= version,
		empty:   i.state.Version == 0,
	}
}

// Timing of an Installer.
const (
	// keepEvery is how often an idle installer looks whether it has what
	// other sidecars may ask for.
	keepEvery = time.Second
	// retryPause is slept after a step that failed.
	retryPause = 250 * time.Millisecond
	// fetchRound bounds one look at the list of peers; after it the list is
	// read again.
	fetchRound = 4 * time.Second
	// startWait is how long a start may take before it is ordered again.
	startWait = 3 * time.Second
)

// Run works until ctx ends.
func (i *Installer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		g := i.goal()
		if g.params.Chunks == 0 || g.idle {
			if g.params.Chunks > 0 && g.idle {
				i.keep(ctx, g)
			}
			select {
			case <-g.change:
			case <-time.After(keepEvery):
			case <-ctx.Done():
			}
			continue
		}
		i.install(ctx, g)
	}
}

// keep makes what the engine took available to other sidecars.
func (i *Installer) keep(ctx context.Context, g goal) {
	i.mu.Lock()
	known := !i.heard.IsZero() && i.state.Version == g.version
	i.mu.Unlock()
	if !known || i.replica(g.version) != nil {
		return
	}
	ctx, cancel := i.untilSuperseded(ctx, g)
	defer cancel()
	if r := i.open(ctx, g); r != nil {
		i.log.Info("copy kept", "version", g.version, "held", r.held.Count())
	}
}

// untilSuperseded returns a context that ends when a newer version is
// named.
func (i *Installer) untilSuperseded(ctx context.Context, g goal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for change := g.change; ctx.Err() == nil; {
			select {
			case <-change:
				now := i.goal()
				change = now.change
				if now.version != g.version {
					cancel()
				}
			case <-ctx.Done():
			}
		}
	}()
	return ctx, cancel
}

// install brings the engine to the version of g.
func (i *Installer) install(ctx context.Context, g goal) {
	ctx, cancel := i.untilSuperseded(ctx, g)
	defer cancel()
	r := i.open(ctx, g)
	if r == nil {
		pause(ctx, retryPause)
		return
	}
	if !i.fetch(ctx, g, r) {
		return
	}
	if !g.empty {
		pause(ctx, time.Until(i.turn(g)))
	}
	if ctx.Err() != nil {
		return
	}
	if !i.lay(ctx, g, r) {
		pause(ctx, retryPause)
		return
	}
	if !g.empty {
		i.drain(ctx)
		defer i.setLeaving(false)
	}
	i.start(ctx, g)
}

// Leaving reports whether nothing new should be sent to the engine, because
// it is about to take another version.
func (i *Installer) Leaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}

func (i *Installer) setLeaving(leaving bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = leaving
}

// drainTime is how long an engine works on without new requests before it
// takes another version. What runs longer is broken off, and goes on
// elsewhere where it may.
const drainTime = 1100 * time.Millisecond

// drain keeps new requests away until the engine is empty or drainTime has
// passed.
func (i *Installer) drain(ctx context.Context) {
	i.setLeaving(true)
	const look = 50 * time.Millisecond
	deadline := time.Now().Add(drainTime)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		state, _ := i.State()
		if state.Running+state.Queued == 0 && time.Until(deadline) < drainTime-4*look {
			return
		}
		pause(ctx, look)
	}
}

// replica returns the copy of a version, or nil.
func (i *Installer) replica(version int) *replica {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range i.copies {
		if r.manifest.Version == version {
			return r
		}
	}
	return nil
}

// open returns the copy of g's version, with what lies ready beside the
// engine already.
func (i *Installer) open(ctx context.Context, g goal) *replica {
	if r := i.replica(g.version); r != nil {
		return r
	}
	m := i.manifest(ctx, g)
	if m == nil {
		return nil
	}
	r := &replica{
		manifest: m,
		chunks:   make([][]byte, len(m.Digests)),
		held:     bitset.New(uint(len(m.Digests))),
		picker:   transfer.NewPicker(len(m.Digests), xxhash.Sum64String(i.settings.Box)),
	}
	i.readStage(ctx, r)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.copies = append(i.copies, r)
	if len(i.copies) > keptCopies {
		i.copies = slices.Delete(i.copies, 0, len(i.copies)-keptCopies)
	}
	return r
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
func (i *Installer) manifest(ctx context.Context, g goal) *Manifest {
	i.mu.Lock()
	peers := slices.Clone(i.known)
	i.mu.Unlock()
	for _, p := range nearest(peers, i.settings, manifestPeers) {
		if m, err := i.client.manifest(ctx, p, g.params.Model, g.version); err == nil && len(m.Digests) == g.params.Chunks {
			return m
		}
	}
	m, err := i.origin.Manifest(ctx, g.params.Model, g.version)
	if err != nil {
		i.log.Info("manifest not had", "version", g.version, "error", err.Error())
		return nil
	}
	if len(m.Digests) != g.params.Chunks {
		i.log.Info("manifest does not fit", "version", g.version, "digests", len(m.Digests), "chunks", g.params.Chunks)
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

// turn is when this engine may begin to change: not all at once, so that
// the others serve meanwhile, and all before the version's deadline.
func (i *Installer) turn(g goal) time.Time {
	if g.named.IsZero() {
		return time.Now()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	order := slices.Clone(i.known)
	slices.SortFunc(order, func(a, b Peer) int {
		x, y := xxhash.Sum64String(a.Box), xxhash.Sum64String(b.Box)
		if x < y {
			return -1
		}
		return 1
	})
	at := slices.IndexFunc(order, func(p Peer) bool { return p.Box == i.settings.Box })
	if at < 0 {
		return time.Now()
	}
	share := float64(at) / float64(len(order))
	return g.named.Add(time.Duration(float64(g.params.Deadline) * (firstTurn + turnsSpan*share)))
}

// Turns of a rollout, as shares of the version's deadline.
const (
	firstTurn = 0.38
	turnsSpan = 0.34
)

// lay makes sure that every chunk lies ready beside the engine and fits.
func (i *Installer) lay(ctx context.Context, g goal, r *replica) bool {
	for n, data := range r.chunks {
		lying, err := i.engine.Get(ctx, g.params.Model, n)
		if err == nil && r.manifest.Fits(n, lying) {
			continue
		}
		if err == nil {
			i.log.Info("chunk laid again", "version", g.version, "chunk", n, "missing", lying == nil)
			err = i.engine.Put(ctx, g.params.Model, n, data)
		}
		if err != nil {
			i.log.Info("chunk not laid", "version", g.version, "chunk", n, "error", err.Error())
			return false
		}
	}
	return true
}

// start orders the engine to take the version and waits until it has.
func (i *Installer) start(ctx context.Context, g goal) {
	err := i.engine.Start(ctx, g.params.Model, g.version, !g.empty)
	if err != nil {
		i.log.Info("start refused", "version", g.version, "error", err.Error())
		pause(ctx, retryPause)
		return
	}
	since := time.Duration(-1)
	if !g.named.IsZero() {
		since = time.Since(g.named)
	}
	i.log.Info("start ordered", "version", g.version, "since_named_ms", since.Milliseconds())
	i.metrics.Counter("mintlift_installer_starts_total").Inc()
	deadline := time.Now().Add(startWait)
	for ctx.Err() == nil {
		now := i.goal()
		state, _ := i.State()
		if now.idle || time.Now().After(deadline) && !state.Busy {
			return
		}
		select {
		case <-now.change:
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
