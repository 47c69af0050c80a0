// SPDX-License-Identifier: Apache-2.0

// Package peer is the protocol between mintlift's own processes: its paths,
// headers and messages. docs/PEER.md describes each call.
package peer

import (
	"encoding/base64"
	"encoding/binary"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/dedup"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/transfer"
	"github.com/mintlift/mintlift/weights"
)

// Paths.
const (
	// PathStatus answers with a Status.
	PathStatus = "/peer/v1/status"
	// PathBoxes answers with the box list as the process last read it.
	PathBoxes = "/peer/v1/boxes"
	// PathCheckpoint answers with a state.Checkpoint.
	PathCheckpoint = "/peer/v1/checkpoint"
	// PathRun is the prefix of callers' requests on their way to a sidecar.
	PathRun = "/run"
	// PathResume and PathCancel are followed by a request's id.
	PathResume = "/peer/v1/resume/"
	PathCancel = "/peer/v1/cancel/"
	// PathClaim and PathFinish are the home's calls for requests that are
	// not repeatable.
	PathClaim  = "/peer/v1/once/claim"
	PathFinish = "/peer/v1/once/finish"
	// PathMetrics and PathHealth are for the platform.
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
)

// Headers of a request on its way from a gateway to a sidecar, and of the
// answer on its way back.
const (
	HeaderRequest   = "Mintlift-Request-Id"
	HeaderWorkspace = "Mintlift-Workspace"
	HeaderPriority  = "Mintlift-Priority"
	HeaderVersion   = "Mintlift-Version"
	// HeaderTimeout is the time left for the request, in milliseconds.
	HeaderTimeout = "Mintlift-Timeout-Ms"
	// HeaderOnce carries the key of a request that is not repeatable.
	HeaderOnce = "Mintlift-Once"
	// HeaderOffset is the sender's state offset.
	HeaderOffset = "Mintlift-Offset"
	// HeaderOutcome comes with an answer that mintlift itself gives.
	HeaderOutcome = "Mintlift-Outcome"
	// HeaderReason is the Reason of a refusal.
	HeaderReason = "Mintlift-Reason"
	// HeaderServing lists the versions that a sidecar serves, with each
	// refusal, so that a gateway need not wait for its next probe.
	HeaderServing = "Mintlift-Serving"
	// HeaderDraining comes with every answer of a process that drains.
	HeaderDraining = "Mintlift-Draining"
)

// Reason is why a sidecar refused a request at admission.
type Reason string

// The reasons.
const (
	ReasonDraining Reason = "draining"
	ReasonVersion  Reason = "version"
	ReasonBusy     Reason = "busy"
	ReasonNotHome  Reason = "not_home"
	ReasonUnknown  Reason = "unknowable"
	ReasonSeen     Reason = "seen"
	ReasonDeadline Reason = "deadline"
	ReasonEndpoint Reason = "endpoint"
	ReasonReplaced Reason = "replaced"
	// ReasonClosed: the endpoint itself has asked for rest, or is at the limit that it
	// named; it may be asked again after the refusal's retry_after_ms.
	ReasonClosed Reason = "closed"
)

// Copy is how far a box is with a version.
type Copy struct {
	weights.Ref
	Plan        string            `json:"plan"`
	State       weights.CopyState `json:"state"`
	Held        int               `json:"held"`
	Chunks      int               `json:"chunks"`
	OriginBytes int64             `json:"origin_bytes"`
	PeerBytes   int64             `json:"peer_bytes"`
	CrossBytes  int64             `json:"cross_bytes"`
	BadChunks   int64             `json:"bad_chunks"`
	// Blocked says why the copy does not go on, where it does not.
	Blocked string `json:"blocked,omitempty"`
}

// Loaded is a version in the engine's memory.
type Loaded struct {
	weights.Ref
	Bytes int64 `json:"bytes"`
}

// Status is what a process says about itself.
type Status struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Offset is the state's offset; ContactMS how long ago the log was
	// heard.
	Offset    int64 `json:"offset"`
	ContactMS int64 `json:"contact_ms"`
	Draining  bool  `json:"draining"`
	// Ready says that the log has been heard lately enough to be the home of
	// keys.
	Ready       bool     `json:"ready"`
	Service     string   `json:"service,omitempty"`
	Copies      []Copy   `json:"copies,omitempty"`
	Loaded      []Loaded `json:"loaded,omitempty"`
	MemoryBytes int64    `json:"memory_bytes,omitempty"`
	// EngineKnown says that the sidecar has asked its engine what it holds;
	// before that Loaded and MemoryBytes say nothing.
	EngineKnown bool `json:"engine_known,omitempty"`
	// Load is the number of requests here, Slots how many run at once.
	Load  int `json:"load"`
	Slots int `json:"slots"`
}

// Serving returns the versions that the process admits requests for.
func (s *Status) Serving() []weights.Ref {
	var out []weights.Ref
	for _, c := range s.Copies {
		if c.State == weights.Serving {
			out = append(out, c.Ref)
		}
	}
	return out
}

// JoinRefs writes HeaderServing.
func JoinRefs(refs []weights.Ref) string {
	names := make([]string, len(refs))
	for i, r := range refs {
		names[i] = r.String()
	}
	return strings.Join(names, ",")
}

// SplitRefs reads what JoinRefs wrote; what is no version is left out.
func SplitRefs(s string) []weights.Ref {
	var out []weights.Ref
	for name := range strings.SplitSeq(s, ",") {
		if r, err := weights.ParseRef(name); err == nil {
			out = append(out, r)
		}
	}
	return out
}

// PullRequest asks a sidecar for a chunk.
type PullRequest struct {
	Box      string `json:"box"`
	Priority int    `json:"priority"`
	// Chunk is the wanted chunk, or -1 for any that is not in Has.
	Chunk int    `json:"chunk"`
	Has   string `json:"has"`
}

// Claim asks a key's home for the right to run a request that is not
// repeatable.
type Claim struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Request is the id of the attempt; the same attempt may ask again.
	Request string `json:"request"`
	// Offset is the gateway's state offset.
	Offset int64 `json:"offset"`
}

// Claimed is a home's answer to a Claim.
type Claimed struct {
	// Granted says that the attempt may run, once.
	Granted bool `json:"granted"`
	// Otherwise Reason and Outcome say what is certain, and Answer is the
	// answer of an earlier attempt, if kept.
	Reason  Reason          `json:"reason,omitempty"`
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	Message string          `json:"message,omitempty"`
	RetryMS int64           `json:"retry_ms,omitempty"`
	Answer  *dedup.Answer   `json:"answer,omitempty"`
	Offset  int64           `json:"offset"`
}

// Finish tells a home how a granted attempt ended.
type Finish struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Request   string `json:"request"`
	// Outcome Unknown leaves the key as it is: running, for all one knows.
	Outcome outcome.Outcome `json:"outcome"`
	Answer  *dedup.Answer   `json:"answer,omitempty"`
}

// Headers of the answer to a pull.
const (
	HeaderChunk  = "Mintlift-Chunk"
	HeaderHeld   = "Mintlift-Held"
	HeaderExists = "Mintlift-Exists"
)

// PullPath is the path of pulls for a version.
func PullPath(ref weights.Ref) string {
	return "/peer/v1/weights/" + ref.Model + "/" + ref.Version + "/pull"
}

// QueryDigest says which manifest is wanted, by the plan's digest.
const QueryDigest = "digest"

// ManifestPath is the path of a version's manifest.
func ManifestPath(ref weights.Ref) string {
	return "/peer/v1/weights/" + ref.Model + "/" + ref.Version + "/manifest"
}

// EncodeBits packs a bitmap for a header.
func EncodeBits(b *bitset.BitSet) string {
	raw, err := b.MarshalBinary()
	if err != nil {
		panic("peer: bitmap does not marshal: " + err.Error()) // it writes to memory only
	}
	return base64.StdEncoding.EncodeToString(raw)
}

// DecodeBits unpacks a bitmap that must have n bits.
func DecodeBits(s string, n int) (*bitset.BitSet, error) {
	raw, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, errors.NewNotValid(err, "bitmap")
	}
	const head = 8 // the length, ahead of the words
	if len(raw) != head+(n+63)/64*8 {
		return nil, errors.NotValidf("bitmap of %d bytes for %d bits", len(raw), n)
	}
	if bits := binary.BigEndian.Uint64(raw); bits != uint64(n) {
		return nil, errors.NotValidf("bitmap of %d bits, want %d", bits, n) // the library would make room for any number
	}
	b := new(bitset.BitSet)
	if err := b.UnmarshalBinary(raw); err != nil {
		return nil, errors.NewNotValid(err, "bitmap")
	}
	return b, nil
}

// SetKnowledge writes what a sender knows into an answer's head.
func SetKnowledge(h http.Header, k transfer.Knowledge) {
	h.Set(HeaderHeld, EncodeBits(k.Held))
	h.Set(HeaderExists, EncodeBits(k.Exists))
}

// KnowledgeOf reads what a sender knows; a part that is missing or wrong is
// nil.
func KnowledgeOf(h http.Header, chunks int) transfer.Knowledge {
	held, err := DecodeBits(h.Get(HeaderHeld), chunks)
	if err != nil {
		return transfer.Knowledge{}
	}
	exists, err := DecodeBits(h.Get(HeaderExists), chunks)
	if err != nil {
		exists = nil
	}
	return transfer.Knowledge{Held: held, Exists: exists}
}

// Refusal is the body of an answer that mintlift gives in the place of an
// endpoint, in the shape that clients of model APIs read.
type Refusal struct {
	Error RefusalError `json:"error"`
}

// RefusalError says what became of the request.
type RefusalError struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Code      string          `json:"code"`
	Outcome   outcome.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
	// RetryAfterMS is when to come back, or 0.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Token returns the check of a shared key: it accepts everything when the
// key is empty.
type Token func() string

// Allowed reports whether r carries the key.
func (t Token) Allowed(r *http.Request) bool {
	key := t()
	return key == "" || r.Header.Get("Authorization") == "Bearer "+key
}

// NewClient returns a client for the processes' own calls.
func NewClient(o call.Options, t Token) *call.Client {
	if t() != "" {
		o.Token = t
	}
	return call.New("peer", o)
}

// TimeLeft reads HeaderTimeout; ok is false when it is missing.
func TimeLeft(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}
