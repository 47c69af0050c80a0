// SPDX-License-Identifier: Apache-2.0

// Package peer defines the protocol between mintlift's own processes, which are
// gateways and sidecars: paths, headers and messages. docs/PEER.md describes each
// call.
//
// Two terms recur. The home of an idempotency key is the sidecar process that stores
// what is known of the key and decides which attempts with it may run. A log offset
// is a position in the event log, up to which a process has applied the log's records
// to its state.
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
	// PathStatus returns a Status.
	PathStatus = "/peer/v1/status"
	// PathBoxes returns the box list as the process last read it.
	PathBoxes = "/peer/v1/boxes"
	// PathCheckpoint returns a state.Checkpoint.
	PathCheckpoint = "/peer/v1/checkpoint"
	// PathRun is the prefix of the path of a caller's request when a gateway forwards
	// it to a sidecar.
	PathRun = "/run"
	// PathResume and PathCancel are prefixes that are followed by a request's id.
	PathResume = "/peer/v1/resume/"
	PathCancel = "/peer/v1/cancel/"
	// PathClaim and PathFinish receive a Claim and a Finish, which a gateway sends to
	// the home of a request's idempotency key.
	PathClaim  = "/peer/v1/once/claim"
	PathFinish = "/peer/v1/once/finish"
	// PathMetrics and PathHealth are called by the platform.
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
)

// Headers of requests from a gateway to a sidecar and of their responses.
const (
	HeaderRequest   = "Mintlift-Request-Id"
	HeaderWorkspace = "Mintlift-Workspace"
	HeaderPriority  = "Mintlift-Priority"
	HeaderVersion   = "Mintlift-Version"
	// HeaderTimeout is the time left for the request, in milliseconds.
	HeaderTimeout = "Mintlift-Timeout-Ms"
	// HeaderOnce is the idempotency key of a non-idempotent request.
	HeaderOnce = "Mintlift-Once"
	// HeaderOffset is the log offset of the sender's state.
	HeaderOffset = "Mintlift-Offset"
	// HeaderOutcome is the request's outcome, in responses that mintlift itself
	// generates.
	HeaderOutcome = "Mintlift-Outcome"
	// HeaderReason is the Reason of a refusal.
	HeaderReason = "Mintlift-Reason"
	// HeaderServing lists the versions that a sidecar serves, in the format of
	// JoinRefs. It is set on each refusal, so that the gateway need not wait for
	// the sidecar's next Status.
	HeaderServing = "Mintlift-Serving"
	// HeaderDraining is set on every response of a draining process.
	HeaderDraining = "Mintlift-Draining"
)

// Reason is why a sidecar refused a request, or a Claim, which requests permission to
// run an attempt.
type Reason string

// The reasons.
const (
	// ReasonDraining: the sidecar or its endpoint is draining.
	ReasonDraining Reason = "draining"
	// ReasonVersion: the sidecar does not serve the requested version.
	ReasonVersion Reason = "version"
	// ReasonBusy: the endpoint runs as many requests as it can, and the sidecar's queue
	// is full or the request was evicted from it by one of higher priority.
	ReasonBusy Reason = "busy"
	// ReasonNotHome: another sidecar is the home of the idempotency key.
	ReasonNotHome Reason = "not_home"
	// ReasonUnknown: another home of the key may have let an attempt run, which the
	// refusing sidecar cannot determine.
	ReasonUnknown Reason = "unknowable"
	// ReasonSeen: the home has an entry of an earlier attempt with the key, or cannot
	// add an entry.
	ReasonSeen Reason = "seen"
	// ReasonDeadline: the request's deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonEndpoint: the request could not be sent to the endpoint.
	ReasonEndpoint Reason = "endpoint"
	// ReasonReplaced: another sidecar process has taken over the box.
	ReasonReplaced Reason = "replaced"
	// ReasonClosed: the endpoint has signalled a backoff, or its rate limit is used
	// up. The request may be retried there after the refusal's retry_after_ms.
	ReasonClosed Reason = "closed"
)

// CopyStatus reports the progress of a box's copy of a version, as part of a Status.
type CopyStatus struct {
	weights.Ref
	// Plan is the id of the plan by which the box fetches the version.
	Plan  string            `json:"plan"`
	State weights.CopyState `json:"state"`
	// Held is the number of verified chunks. Chunks is the number of all chunks of the
	// version.
	Held   int `json:"held"`
	Chunks int `json:"chunks"`
	// OriginBytes and PeerBytes are the bytes received from the origin and from
	// peers. CrossRegionBytes is the part of PeerBytes that came from other regions.
	OriginBytes      int64 `json:"origin_bytes"`
	PeerBytes        int64 `json:"peer_bytes"`
	CrossRegionBytes int64 `json:"cross_bytes"`
	// BadChunks is the number of received chunks that failed verification.
	BadChunks int64 `json:"bad_chunks"`
	// Blocked is why the copy makes no progress, or empty.
	Blocked string `json:"blocked,omitempty"`
}

// LoadedVersion is a version that the engine has loaded; Bytes is its size in
// memory.
type LoadedVersion struct {
	weights.Ref
	Bytes int64 `json:"bytes"`
}

// Status is the state that a gateway or sidecar reports on PathStatus.
type Status struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Offset is the log offset of the process's state. ContactMS is the time since
	// the process last read the event log, in milliseconds.
	Offset    int64 `json:"offset"`
	ContactMS int64 `json:"contact_ms"`
	Draining  bool  `json:"draining"`
	// Ready reports whether the process has read the event log recently enough to be
	// the home of idempotency keys.
	Ready       bool            `json:"ready"`
	Service     string          `json:"service,omitempty"`
	Copies      []CopyStatus    `json:"copies,omitempty"`
	Loaded      []LoadedVersion `json:"loaded,omitempty"`
	MemoryBytes int64           `json:"memory_bytes,omitempty"`
	// EngineKnown reports whether the sidecar has received its engine's state. Until
	// then Loaded and MemoryBytes are not valid.
	EngineKnown bool `json:"engine_known,omitempty"`
	// Load is the number of requests that run or are queued at the endpoint. Slots is
	// the number of requests that it runs concurrently.
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

// JoinRefs formats refs for HeaderServing, separated by commas.
func JoinRefs(refs []weights.Ref) string {
	names := make([]string, len(refs))
	for i, r := range refs {
		names[i] = r.String()
	}
	return strings.Join(names, ",")
}

// SplitRefs parses the result of JoinRefs and skips invalid refs.
func SplitRefs(s string) []weights.Ref {
	var out []weights.Ref
	for name := range strings.SplitSeq(s, ",") {
		if r, err := weights.ParseRef(name); err == nil {
			out = append(out, r)
		}
	}
	return out
}

// PullRequest is a box's request for a chunk of a version.
type PullRequest struct {
	Box      string `json:"box"`
	Priority int    `json:"priority"`
	// Chunk is the requested chunk, or -1 for any that is not in Has.
	Chunk int `json:"chunk"`
	// Has is the bitmap, from EncodeBits, of the chunks that the box holds or
	// has in flight.
	Has string `json:"has"`
}

// Claim requests permission to run an attempt. It is sent to the home of the attempt's
// idempotency key: the sidecar process that stores what is known of the key.
type Claim struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Request is the id of the attempt. The same attempt may send its Claim again.
	Request string `json:"request"`
	// Offset is the log offset of the gateway's state.
	Offset int64 `json:"offset"`
}

// ClaimResult is the response to a Claim.
type ClaimResult struct {
	// Granted reports whether the attempt may run. It may run only once.
	Granted bool `json:"granted"`
	// Reason and Outcome are set if Granted is false. Outcome is the outcome of the
	// request as far as the home can determine it.
	Reason  Reason          `json:"reason,omitempty"`
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	Message string          `json:"message,omitempty"`
	// RetryMS is the delay before the caller may retry, in milliseconds, or 0.
	RetryMS int64 `json:"retry_ms,omitempty"`
	// Response is the stored response of an earlier attempt, if there is one.
	Response *dedup.Response `json:"answer,omitempty"`
	// Offset is the log offset of the home's state.
	Offset int64 `json:"offset"`
}

// Finish reports the outcome of an attempt whose Claim was granted. It is sent to the
// home of the attempt's idempotency key.
type Finish struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Request   string `json:"request"`
	// Outcome is the attempt's outcome. If it is Unknown, the home's entry of the key
	// stays marked as running.
	Outcome  outcome.Outcome `json:"outcome"`
	Response *dedup.Response `json:"answer,omitempty"`
}

// Headers of the response to a pull.
const (
	// HeaderChunk is the number of the chunk in the body.
	HeaderChunk = "Mintlift-Chunk"
	// HeaderHeld is the bitmap, from EncodeBits, of the chunks that the sender holds.
	// HeaderExists is that of the chunks that any box of its region is known to hold.
	HeaderHeld   = "Mintlift-Held"
	HeaderExists = "Mintlift-Exists"
)

// PullPath returns the path that receives a PullRequest for a version.
func PullPath(ref weights.Ref) string {
	return "/peer/v1/weights/" + ref.Model + "/" + ref.Version + "/pull"
}

// QueryDigest is the query parameter of ManifestPath for the manifest's digest,
// as pinned by the plan.
const QueryDigest = "digest"

// ManifestPath returns the path of a version's manifest.
func ManifestPath(ref weights.Ref) string {
	return "/peer/v1/weights/" + ref.Model + "/" + ref.Version + "/manifest"
}

// EncodeBits encodes a bitmap in base64, for use in a header.
func EncodeBits(b *bitset.BitSet) string {
	raw, err := b.MarshalBinary()
	if err != nil {
		panic("peer: cannot marshal bitmap: " + err.Error()) // not reached: it writes to memory only
	}
	return base64.StdEncoding.EncodeToString(raw)
}

// DecodeBits decodes the result of EncodeBits. It returns an error of the kind
// errors.NotValid if s is malformed or the bitmap does not have n bits.
func DecodeBits(s string, n int) (*bitset.BitSet, error) {
	raw, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, errors.NewNotValid(err, "bitmap")
	}
	const lengthBytes = 8 // length field before the words
	if len(raw) != lengthBytes+(n+63)/64*8 {
		return nil, errors.NotValidf("bitmap of %d bytes for %d bits", len(raw), n)
	}
	if bits := binary.BigEndian.Uint64(raw); bits != uint64(n) {
		return nil, errors.NotValidf("bitmap of %d bits, want %d", bits, n) // the library would allocate any claimed length
	}
	b := new(bitset.BitSet)
	if err := b.UnmarshalBinary(raw); err != nil {
		return nil, errors.NewNotValid(err, "bitmap")
	}
	return b, nil
}

// SetAvailability sets HeaderHeld to the chunks that the sender itself holds, and
// HeaderExists to those that any box of its region is known to hold.
func SetAvailability(h http.Header, a transfer.Availability) {
	h.Set(HeaderHeld, EncodeBits(a.Held))
	h.Set(HeaderExists, EncodeBits(a.Exists))
}

// ParseAvailability parses the headers set by SetAvailability, for a version with
// the given number of chunks. Held is the bitmap of the chunks that the sender holds,
// and Exists that of the chunks that any box of the sender's region is known to hold.
// If HeaderHeld is missing or invalid, both are nil, which means unknown. If only
// HeaderExists is missing or invalid, only Exists is nil.
func ParseAvailability(h http.Header, chunks int) transfer.Availability {
	held, err := DecodeBits(h.Get(HeaderHeld), chunks)
	if err != nil {
		return transfer.Availability{}
	}
	exists, err := DecodeBits(h.Get(HeaderExists), chunks)
	if err != nil {
		exists = nil
	}
	return transfer.Availability{Held: held, Exists: exists}
}

// Refusal is the body of an error response that mintlift generates in place of
// an endpoint, in the error format of common model APIs.
type Refusal struct {
	Error RefusalError `json:"error"`
}

// RefusalError describes the error and the outcome of the request.
type RefusalError struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Code      string          `json:"code"`
	Outcome   outcome.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
	// RetryAfterMS is the delay before the caller may retry, in milliseconds, or 0.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Token returns the key that the processes share to authenticate calls between them.
// An empty key turns authentication off.
type Token func() string

// Authorized reports whether r has the key as its bearer token, or the key is
// empty.
func (t Token) Authorized(r *http.Request) bool {
	key := t()
	return key == "" || r.Header.Get("Authorization") == "Bearer "+key
}

// NewClient returns a client for calls between the processes. It sends the key of t
// with each call, unless t returns an empty key when NewClient is called.
func NewClient(o call.Options, t Token) *call.Client {
	if t() != "" {
		o.Token = t
	}
	return call.New("peer", o)
}

// TimeLeft parses HeaderTimeout. It returns false if the header is missing or invalid.
func TimeLeft(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil
}
