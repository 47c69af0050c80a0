// SPDX-License-Identifier: Apache-2.0

// Package installer updates the engine beside a sidecar to the model version
// that the operator named last.
//
// Every sidecar plans its own steps from the same records, without a
// coordinator: it fetches the version's chunks from the origin and from other
// sidecars by the rules of package transfer, stages them beside the engine,
// verifies them again and orders the engine to load them.
//
// Installer.mu guards all state; it is never held during a call to another
// process. Installer.stagingMu guards the chunks staged beside the engine.
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

// MarshalText encodes the digest in hex, which is shorter than a JSON array of
// numbers.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes a digest in hex.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.NotValidf("digest %q", text)
	}
	_, err := hex.Decode(d[:], text)
	return errors.Trace(err)
}

// Manifest lists the digests of a version's chunks.
type Manifest struct {
	Model      string   `json:"model"`
	Version    int      `json:"version"`
	ChunkBytes int      `json:"chunk_bytes"`
	Digests    []Digest `json:"digests"`
}

// ChunkMatches reports whether data matches the digest of chunk n. It is false
// for an n out of range.
func (m *Manifest) ChunkMatches(n int, data []byte) bool {
	return n >= 0 && n < len(m.Digests) && sha256.Sum256(data) == m.Digests[n]
}

// EngineState is the state that the engine reports.
type EngineState struct {
	Model string
	// Version is the version whose chunks the engine has all loaded, or 0.
	Version int
	// Busy is set while the engine executes an order.
	Busy bool
	// Orders is the number of orders that the engine has accepted.
	Orders int64
	// Queued and Running are numbers of requests.
	Queued  int
	Running int
	// Pace is the engine's slowdown: above 1, how many times slower than usual it
	// runs.
	Pace float64
	// StartedMS is when the engine's process started, in Unix milliseconds, or 0
	// if the engine does not report it.
	StartedMS int64
	// Signal is the backpressure signal that came with the engine's report.
	Signal backpressure.Signal
}

// Engine is the engine beside the sidecar.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	// Put stages a chunk.
	Put(ctx context.Context, model string, chunk int, data []byte) error
	// Get returns a staged chunk, or nil if the chunk is not staged.
	Get(ctx context.Context, model string, chunk int) ([]byte, error)
	// Start orders the engine to load the staged chunks. Unless the outcome is
	// Accepted, the error is the reason.
	Start(ctx context.Context, s Start) (Outcome, error)
}

// Origin is the source of model weights.
type Origin interface {
	Manifest(ctx context.Context, model string, version int) (*Manifest, error)
	Chunk(ctx context.Context, model string, version, chunk int) ([]byte, error)
}

// Peer is a sidecar of the service.
type Peer struct {
	// Box identifies the sidecar: the IP address of its box.
	Box string
	// Address of its installer, IP:PORT.
	Address string
	Region  string
	Zone    string
	// Draining is set while the endpoint beside the sidecar is being drained.
	Draining bool
}

// Params describe the service's model and its rollouts.
type Params struct {
	Model      string
	Chunks     int
	ChunkBytes int
	// OriginRate is the rate of the origin's link in bytes a second, or 0 if
	// unknown.
	OriginRate float64
	// OriginRegion is the region that the origin is in.
	OriginRegion string
	// Deadline is how long after its naming a version must be served by all
	// engines.
	Deadline time.Duration
}

// Settings identify the box of an Installer.
type Settings struct {
	Box    string
	Region string
	Zone   string
	// LinkRate is the rate of the box's link in bytes a second, or 0 if unknown.
	LinkRate float64
}

// Installer fetches named versions and loads them into the engine of one
// sidecar. It does nothing until Run is called.
type Installer struct {
	settings Settings
	engine   Engine
	origin   Origin
	// peers reads the list of the service's sidecars, this one included.
	peers  func(ctx context.Context) ([]Peer, error)
	client *peerClient
	// upPacer and downPacer keep transfers below the rate of the box's link.
	upPacer, downPacer *pacer
	// manifestHopTimeout is the constant of that name, unless a test overrides
	// it.
	manifestHopTimeout time.Duration
	log                logr.Logger
	metrics            *telemetry.Metrics

	// stagingMu is locked before mu.
	stagingMu sync.Mutex

	mu            sync.Mutex
	params        Params
	targets       []target // in ascending order of version
	engineState   EngineState
	engineStateAt time.Time // when engineState was reported; zero before the first report
	draining      bool      // gateways should send the engine no new requests
	// expectedLoad is the load that results from the last start order if the
	// engine accepts it. verifiedLoad is the load whose chunks were verified after
	// the engine had accepted it.
	expectedLoad, verifiedLoad loadID
	// updateScheduled is set while the engine has a slot in a rollout.
	updateScheduled bool
	replicas        []*replica
	peerList        []Peer // the sidecar list as last read, at peerListAt
	peerListAt      time.Time
	// changed is closed and replaced when a waiter must look at the state again.
	changed chan struct{}
}

// target is a version that the operator named.
type target struct {
	version int
	setAt   time.Time // zero if unknown
	// ageUnknown is set if setAt is when this process learned of the version,
	// or was moved back because the version is overdue.
	ageUnknown bool
}

// maxTargets is how many named versions are kept.
const maxTargets = 3

// replica is this box's copy of a version, complete or not.
type replica struct {
	manifest *Manifest
	chunks   [][]byte
	held     *bitset.BitSet
	// chunkArrived is closed and replaced when a chunk arrives.
	chunkArrived chan struct{}
	// completedAt is when the last chunk arrived.
	completedAt time.Time
	// swarm is nil until the first fetch starts.
	swarm *transfer.Swarm
	// addresses maps the boxes of the swarm to their installers' addresses.
	addresses map[string]string
	picker    *transfer.Picker
	// mismatches counts received chunks that did not match their digests.
	mismatches int
	// fromPeers, fromRemoteRegion and fromOrigin count received chunks by source;
	// fromPeers are those of the own region.
	fromPeers        int
	fromRemoteRegion int
	fromOrigin       int
}

// maxReplicas is how many replicas are kept for other sidecars: the newest
// version and the one that may be served until the newest is complete.
const maxReplicas = 2

// New returns an Installer; peers reads the list of the service's sidecars.
func New(s Settings, e Engine, o Origin, peers func(context.Context) ([]Peer, error), log logr.Logger, m *telemetry.Metrics) *Installer {
	down := newPacer(s.LinkRate)
	return &Installer{
		settings: s, engine: e, origin: o, peers: peers, log: log, metrics: m,
		client: newPeerClient(down), upPacer: newPacer(s.LinkRate), downPacer: down, manifestHopTimeout: manifestHopTimeout,
		changed: make(chan struct{}),
	}
}

// Configure sets the parameters of the service.
func (i *Installer) Configure(p Params) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params == p {
		return
	}
	i.params = p
	i.notifyLocked()
}

// AddTarget records that the operator named a version of the model. setAt is
// when, or zero if unknown; of several reports the earliest known time counts.
func (i *Installer) AddTarget(model string, version int, setAt time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.addTargetLocked(model, target{version: version, setAt: setAt})
}

// overdueGrace is how long a sidecar waits for a gateway that knows a version's
// age before it accepts reports that the version is overdue. Gateways that
// started during a rollout report that, too.
const overdueGrace = 1200 * time.Millisecond

// AddTargetOfUnknownAge records a named version whose age the reporting gateway
// does not know. overdue is set if that gateway has seen the version served and
// routes to no older one. If no gateway has reported the age within overdueGrace,
// the version's deadline counts as passed: the engine gets no requests until it
// is updated, so it does not wait for its slot.
func (i *Installer) AddTargetOfUnknownAge(model string, version int, overdue bool, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.addTargetLocked(model, target{version: version, setAt: now, ageUnknown: true})
	for at := range i.targets {
		t := &i.targets[at]
		if t.version != version || !t.ageUnknown || !overdue || now.Sub(t.setAt) < overdueGrace || now.Sub(t.setAt) >= i.params.Deadline {
			continue
		}
		t.setAt = now.Add(-i.params.Deadline)
		i.log.Info("version overdue", "version", version)
		i.notifyLocked()
	}
}

// addTargetLocked merges a report of a named version into the targets;
// Installer.mu is held. Reports of another model are ignored.
func (i *Installer) addTargetLocked(model string, reported target) {
	if i.params.Model != "" && model != i.params.Model {
		return
	}
	for at := range i.targets {
		if t := &i.targets[at]; t.version == reported.version && t.update(reported) {
			i.notifyLocked()
		}
	}
	if reported.version <= i.newestTarget().version {
		return
	}
	i.targets = append(i.targets, reported)
	if len(i.targets) > maxTargets {
		i.targets = i.targets[1:]
	}
	i.log.Info("version named", "model", model, "version", reported.version, "age_unknown", reported.setAt.IsZero() || reported.ageUnknown)
	i.notifyLocked()
}

// setTimeTolerance is the tolerance within which two gateways' times of the same naming
// count as equal.
const setTimeTolerance = 100 * time.Millisecond

// update merges another report of the same version into t and returns whether t
// changed. A known time replaces an assumed one, and an earlier time a later one.
func (t *target) update(reported target) bool {
	switch {
	case reported.setAt.IsZero(), reported.ageUnknown && !t.setAt.IsZero():
		return false
	case t.ageUnknown:
		// The known time replaces the assumed one below, even if it is later.
		t.ageUnknown = false
	case !t.setAt.IsZero() && reported.setAt.After(t.setAt.Add(-setTimeTolerance)):
		return false
	}
	t.setAt, t.ageUnknown = reported.setAt, reported.ageUnknown
	return true
}

// newestTarget returns the version named last. Without one it is version 1, which
// is never named. Installer.mu is held.
func (i *Installer) newestTarget() target {
	if len(i.targets) == 0 {
		return target{version: 1}
	}
	return i.targets[len(i.targets)-1]
}

// notifyLocked wakes the goroutines that wait for a change; Installer.mu is held.
func (i *Installer) notifyLocked() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// State returns the last state that the engine reported and when it did.
func (i *Installer) State() (EngineState, time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.engineState, i.engineStateAt
}

// UpdatePending reports whether the engine has a version loaded and a newer one
// than its verified version is named.
func (i *Installer) UpdatePending() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.engineState.Version > 0 && i.verifiedVersion() < i.newestTarget().version
}
