// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"context"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/loadreport"
)

const (
	// avoidFor is how long a gateway is not asked that did not answer.
	backoff = 2 * time.Second
	// readersLife is how long what sidecars tell of the gateways that read
	// counts.
	readerTTL = 2 * time.Second
)

// Readers are the gateways of a region that read the store for the others, as
// one of these sees them. It is safe for concurrent use.
type Readers struct {
	// own is this gateway's IP number; address gives another's IP:PORT.
	own     string
	address func(ip string) string
	client  *Client
	log     logr.Logger

	mu    sync.Mutex
	reported map[string]time.Time // gateways that sidecars name, and when
	backoffUntil map[string]time.Time // gateways that did not answer, until when
}

// NewReaders returns the readers as the gateway with the IP number own sees
// them; address gives the IP:PORT of another's Handler.
func NewReaders(own string, address func(ip string) string, log logr.Logger) *Readers {
	return &Readers{
		own: own, address: address, client: NewClient(), log: log,
		reported: make(map[string]time.Time), backoffUntil: make(map[string]time.Time),
	}
}

// Heard notes which gateways a sidecar takes for the first of the region. A
// sidecar that few gateways watch names others than most do; the first of all
// that are named count.
func (r *Readers) Heard(ips []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ip := range ips {
		r.reported[ip] = now
	}
}

// follow returns the gateways to ask now; none if this one is among the first
// itself.
func (r *Readers) candidates(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []string
	for ip, at := range r.reported {
		if now.Sub(at) > readerTTL {
			delete(r.reported, ip)
			continue
		}
		all = append(all, ip)
	}
	first := loadreport.SelectReaders(all)
	if slices.Contains(first, r.own) {
		return nil
	}
	return slices.DeleteFunc(first, func(ip string) bool { return now.Before(r.backoffUntil[ip]) })
}

// leave keeps a gateway from being asked until a time.
func (r *Readers) backOff(ip string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[ip] = until
}

// minHold is the least time for which a gateway is asked to wait: one whose
// own list is about to be read anew would be asked over and over.
const minWait = 50 * time.Millisecond

// tryEach asks the gateways to follow one after the other until one has told.
// Each may wait for a change for as long as what was confirmed then is not
// too old, less what asking the others takes. It returns false if the store
// must be read instead.
func (r *Readers) tryEach(budget freshness.Budget, confirmed time.Time, ask func(ip string, hold time.Duration) bool) bool {
	ips := r.candidates(clock.Now())
	for n, ip := range ips {
		left := budget.Hold(clock.Since(confirmed))
		if left <= 0 {
			return false
		}
		others := 2 * time.Duration(len(ips)-1-n) * budget.Relay() // a wait, and the answer
		if ask(ip, max(left-others, min(left, minWait))) {
			return true
		}
	}
	return false
}

// ask decodes a gateway's answer into out. The gateway may keep it back for
// hold, and it may take slack more to come.
func (r *Readers) query(ctx context.Context, ip, path string, query url.Values, hold, slack time.Duration, out any) bool {
	query.Set(waitField, strconv.FormatInt(hold.Milliseconds(), 10))
	err := r.client.get(ctx, r.address(ip), path, query, hold+slack, out)
	if err != nil && ctx.Err() == nil {
		r.backOff(ip, clock.Now().Add(backoff))
		r.log.Info("gateway did not tell", "gateway", ip, "path", path, "error", err.Error())
	}
	return err == nil
}

// Close closes connections that rest.
func (r *Readers) Close() { r.client.Close() }
