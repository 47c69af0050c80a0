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
// it is held. Installer.staging is for what lies ready beside the engine.
package installer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/transfer"
)

// Digest is the SHA-256 of a chunk.
type Digest [sha256.Size]byte

// MarshalText writes a digest in hex: as an array of numbers it would take
// twice the bytes, and each box sends its manifest to several others.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads a digest in hex.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.NotValidf("digest %q", text)
	}
	_, err := hex.Decode(d[:], text)
	return errors.Trace(err)
}

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
	// Born is when the engine's process started, in Unix milliseconds, or 0 if
	// it does not tell.
	Born int64
	// Signal is what the engine's answer said of itself.
	Signal backpressure.Signal
}

// Engine is the engine beside the sidecar.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	Put(ctx context.Context, model string, chunk int, data []byte) error
	// Get returns nil for a chunk that does not lie ready.
	Get(ctx context.Context, model string, chunk int) ([]byte, error)
	// Start orders the engine to take what lies ready. The error says why the
	// outcome is not Taken.
	Start(ctx context.Context, s Start) (Outcome, error)
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
	// Leaving says that the endpoint beside it is being drained.
	Leaving bool
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
	// manifestHop is the constant of that name; tests that must not depend on
	// the machine's speed lengthen it.
	manifestHop time.Duration
	log         logr.Logger
	metrics     *telemetry.Metrics

	// staging is taken before mu.
	staging sync.Mutex

	mu      sync.Mutex
	params  Params
	targets []target // by version, the newest last
	state   EngineState
	heard   time.Time // when the engine was heard last
	leaving bool      // nothing new should be sent to the engine
	// expected is what the engine tells once it has taken the start that was
	// sent last, and vouched what was checked after it was taken.
	expected, vouched loading
	// promised says that the engine will take its turn of a rollout.
	promised bool
	copies   []*replica
	known    []Peer // the last list of sidecars, and when it was read
	knownAt  time.Time
	change   chan struct{}
}

// target is a named version.
type target struct {
	version int
	named   time.Time // zero if that is not known
	// assumed says that named is only when this process heard of it.
	assumed bool
}

// keptTargets is how many named versions are remembered.
const keptTargets = 3

// replica is this box's copy of a version.
type replica struct {
	manifest *Manifest
	chunks   [][]byte
	held     *bitset.BitSet
	// arrived is closed, and made anew, when a chunk comes.
	arrived chan struct{}
	// wholeAt is when the last chunk came.
	wholeAt time.Time
	// swarm is nil while nothing is fetched.
	swarm     *transfer.Swarm
	addresses map[string]string
	picker    *transfer.Picker
	bad       int // chunks that did not fit their digests
	fromPeers int
	fromFar   int
	fromSrc   int
}

// keptCopies is how many versions are kept for other sidecars: the newest and
// the one that may bridge the time to it.
const keptCopies = 2

// New returns an Installer; peers reads the list of the service's sidecars.
func New(s Settings, e Engine, o Origin, peers func(context.Context) ([]Peer, error), log logr.Logger, m *telemetry.Metrics) *Installer {
	down := newPacer(s.LinkRate)
	return &Installer{
		settings: s, engine: e, origin: o, peers: peers, log: log, metrics: m,
		client: newPeerClient(down), up: newPacer(s.LinkRate), down: down, manifestHop: manifestHop,
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
	i.nameLocked(model, target{version: version, named: named})
}

// assumedFor is how long a sidecar waits for a gateway that knows a version's
// age before it believes others that the version is overdue: a gateway that has
// just started says so amid a rollout, too.
const assumedFor = 1200 * time.Millisecond

// NameAssumed takes a named version whose age the gateway that tells of it does
// not know. Overdue says that it has left older versions: it saw the version
// served, and serves nothing older. Where no gateway knows better, as after all
// have started anew, the engine then changes at once, since it gets no
// requests until it has; its turn would come seconds later.
func (i *Installer) NameAssumed(model string, version int, overdue bool, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.nameLocked(model, target{version: version, named: now, assumed: true})
	for at := range i.targets {
		t := &i.targets[at]
		if t.version != version || !t.assumed || !overdue || now.Sub(t.named) < assumedFor || now.Sub(t.named) >= i.params.Deadline {
			continue
		}
		t.named = now.Add(-i.params.Deadline)
		i.log.Info("version overdue", "version", version)
		i.wakeLocked()
	}
}

// nameLocked takes a word of a named version; Installer.mu is held.
func (i *Installer) nameLocked(model string, word target) {
	if i.params.Model != "" && model != i.params.Model {
		return
	}
	for at := range i.targets {
		if t := &i.targets[at]; t.version == word.version && t.learn(word) {
			i.wakeLocked()
		}
	}
	if word.version <= i.newest().version {
		return
	}
	i.targets = append(i.targets, word)
	if len(i.targets) > keptTargets {
		i.targets = i.targets[1:]
	}
	i.log.Info("version named", "model", model, "version", word.version, "age_unknown", word.named.IsZero() || word.assumed)
	i.wakeLocked()
}

// earlier is by how much two gateways' words of one naming differ without
// saying anything: when they heard of it, and the way of their datagrams.
const earlier = 100 * time.Millisecond

// learn takes another word of the same version, and reports whether that
// changes anything: a known time goes before an assumed one, and the earlier
// before the later.
func (t *target) learn(word target) bool {
	switch {
	case word.named.IsZero(), word.assumed && !t.named.IsZero():
		return false
	case t.assumed:
		// What was assumed is never earlier than the time itself.
		t.assumed = false
	case !t.named.IsZero() && word.named.After(t.named.Add(-earlier)):
		return false
	}
	t.named, t.assumed = word.named, word.assumed
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
	return i.state.Version > 0 && i.holds() < i.newest().version
}
