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

// Timing of queries to reader gateways.
const (
	// backoff is how long a gateway is not queried after a failure or stale data.
	backoff = 2 * time.Second
	// readerTTL is how long a gateway counts as a reader after a sidecar has reported
	// it as one.
	readerTTL = 2 * time.Second
)

// Readers holds one gateway's view of the reader gateways of its region: those that
// read the store for the others. It is safe for concurrent use.
type Readers struct {
	// own is this gateway's IP address.
	own string
	// address returns the IP:PORT of the Handler of the gateway with an IP address.
	address func(ip string) string
	client  *Client
	log     logr.Logger

	mu           sync.Mutex
	reported     map[string]time.Time // by IP address: when a sidecar last reported the gateway as a reader
	backoffUntil map[string]time.Time // by IP address: the time until which the gateway is not queried
}

// NewReaders returns the Readers of the gateway with the IP address own. address
// returns the IP:PORT of another gateway's Handler.
func NewReaders(own string, address func(ip string) string, log logr.Logger) *Readers {
	return &Readers{
		own: own, address: address, client: NewClient(), log: log,
		reported: make(map[string]time.Time), backoffUntil: make(map[string]time.Time),
	}
}

// Add adds the gateways with the given IP addresses, which a sidecar has reported as the
// region's reader gateways: those that read the store for the others. Each sidecar selects
// them from its own subscribers, so two sidecars can report different ones; candidates
// makes the final selection from all gateways reported within readerTTL.
func (r *Readers) Add(ips []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ip := range ips {
		r.reported[ip] = now
	}
}

// candidates selects the reader gateways from those that sidecars have reported recently,
// by loadreport.SelectReaders. It returns them without those that are backed off, and
// returns none if this gateway is a reader itself.
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
	selected := loadreport.SelectReaders(all)
	if slices.Contains(selected, r.own) {
		return nil
	}
	return slices.DeleteFunc(selected, func(ip string) bool { return now.Before(r.backoffUntil[ip]) })
}

// backOff excludes the gateway with the address ip from candidates until the given time.
func (r *Readers) backOff(ip string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[ip] = until
}

// minWait is the minimum wait of a long poll. It keeps a gateway from being polled
// in a tight loop while its own data are about to be refreshed.
const minWait = 50 * time.Millisecond

// tryEach calls fetch for each candidate until one call succeeds. confirmed is the time
// at which the data held here was last confirmed. The wait passed to fetch ends before
// that data becomes stale, and leaves time to query the remaining candidates. tryEach
// returns false if the store must be read instead.
func (r *Readers) tryEach(budget freshness.Budget, confirmed time.Time, fetch func(ip string, wait time.Duration) bool) bool {
	ips := r.candidates(clock.Now())
	for n, ip := range ips {
		left := budget.Hold(clock.Since(confirmed))
		if left <= 0 {
			return false
		}
		others := 2 * time.Duration(len(ips)-1-n) * budget.RelayTimeout() // the wait and the response
		if fetch(ip, max(left-others, min(left, minWait))) {
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
		r.backOff(ip, clock.Now().Add(backoff))
		r.log.Info("request to gateway failed", "gateway", ip, "path", path, "error", err.Error())
	}
	return err == nil
}

// Close closes idle connections.
func (r *Readers) Close() { r.client.Close() }
