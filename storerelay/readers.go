// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"context"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/readerset"
)

// Timing of queries to other gateways.
const (
	// backoff is how long a gateway is not queried after it did not respond.
	backoff = 2 * time.Second
	// staleBackoff is how long a gateway is not queried after it had nothing recent. It
	// may be about to read the store in place of a failed one.
	staleBackoff = 300 * time.Millisecond
)

// Readers holds one gateway's view of the gateways of its region, for one topic of the
// store: which of them to query, and whether to read the store. It implements
// storewatch.Gate and is safe for concurrent use.
type Readers struct {
	// address returns the IP:PORT of the Handler of the gateway with an IP address.
	address func(ip string) string
	client  *Client
	log     logr.Logger

	mu  sync.Mutex
	set *readerset.Set
}

// NewReaders returns the Readers of the gateway with the IP address own. address
// returns the IP:PORT of another gateway's Handler. For timeout it does not read the store
// while it does not know the others; see readerset.StartTimeout.
func NewReaders(own string, address func(ip string) string, timeout time.Duration, n network.Network, log logr.Logger) *Readers {
	return &Readers{address: address, client: NewClient(n), log: log, set: readerset.New(own, timeout, clock.Now())}
}

// SetMembers sets the gateways of the region.
func (r *Readers) SetMembers(members []readerset.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set.Update(members) {
		r.log.Info("gateways of the region", "gateways", r.set.Len(), "reader", r.set.Reader(), "first", r.set.Ranked()[0])
	}
}

// Reader reports whether this gateway is one of the region's permanent readers.
func (r *Readers) Reader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Reader()
}

// Members returns the number of gateways of the region, this one included; 0 while they are
// unknown.
func (r *Readers) Members() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Len()
}

// MayRead implements storewatch.Gate.
func (r *Readers) MayRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.MayRead(clock.Now())
}

// ReadDone implements storewatch.Gate.
func (r *Readers) ReadDone(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.StoreRead(ok, clock.Now())
}

// sources returns the gateways to query now, in order.
func (r *Readers) sources() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Sources(clock.Now())
}

// noResponse excludes the gateway with the address ip from sources for backoff.
func (r *Readers) noResponse(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.FailSilent(ip, clock.Now().Add(backoff))
}

// stale excludes the gateway with the address ip from sources for staleBackoff.
func (r *Readers) stale(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.FailStale(ip, clock.Now().Add(staleBackoff))
}

// succeeded records that the gateway with the address ip has supplied recent data.
func (r *Readers) succeeded(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.Succeed(ip)
}

// minWait is the minimum wait of a long poll. It keeps a gateway from being polled
// in a tight loop while its own data are about to be refreshed.
const minWait = 50 * time.Millisecond

// tryEach calls fetch for each gateway to query until one call succeeds. confirmed is the
// time at which the data held here was last confirmed. The wait passed to fetch ends
// before that data becomes stale, and leaves time to query the remaining gateways.
func (r *Readers) tryEach(budget freshness.Budget, confirmed time.Time, fetch func(ip string, wait time.Duration) bool) bool {
	ips := r.sources()
	for n, ip := range ips {
		left := budget.Hold(clock.Since(confirmed))
		others := 2 * time.Duration(len(ips)-1-n) * budget.RelayTimeout() // the wait and the response
		if fetch(ip, max(left-others, minWait)) {
			r.succeeded(ip)
			return true
		}
	}
	return false
}

// fetch sends a request to the gateway with the address ip and decodes the response into
// out. The gateway may hold the request for the duration wait; the request times out
// after wait plus slack. If the request fails, fetch returns false. It then also backs
// off from the gateway, unless ctx has ended.
func (r *Readers) fetch(ctx context.Context, ip, path string, query url.Values, wait, slack time.Duration, out any) bool {
	query.Set(waitField, strconv.FormatInt(wait.Milliseconds(), 10))
	err := r.client.get(ctx, r.address(ip), path, query, wait+slack, out)
	if err != nil && ctx.Err() == nil {
		r.noResponse(ip)
		r.log.Info("request to gateway failed", "gateway", ip, "path", path, "error", err.Error())
	}
	return err == nil
}

// Close closes idle connections.
func (r *Readers) Close() { r.client.Close() }
