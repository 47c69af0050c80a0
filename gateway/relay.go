// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/peer"
)

// Bounds of a read of the log through a gateway.
const (
	maxPageRecords = 500
	maxLongPoll    = 10 * time.Second
)

// peerRoutes returns the routes of the peers' port.
func (d *Daemon) peerRoutes() []httpserve.Route {
	return append(d.Routes(d.localStatus), []httpserve.Route{
		{Method: http.MethodGet, Path: "/streams/:stream/records", Handler: d.RequirePeerKey(d.handleRecords)},
		{Method: http.MethodGet, Path: peer.PathBoxes, Handler: d.RequirePeerKey(d.handleBoxes)},
		{Method: http.MethodGet, Path: "/peer/v1/weights/:model/:version/manifest", Handler: d.RequirePeerKey(d.handleManifest)},
	}...)
}

// handleRecords serves the configuration stream from the replica, in the log
// service's protocol. The page also contains the time since the replica's last
// contact with the log, and the entity tag of the box list.
func (d *Daemon) handleRecords(w http.ResponseWriter, r *http.Request) {
	if pathvar.Vars(r)["stream"] != eventlog.ConfigStream {
		http.Error(w, "only the configuration stream is relayed", http.StatusNotFound)
		return
	}
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(q.Get("wait_ms")) // without a value the read does not wait
	page := d.awaitRecords(r.Context(), from, min(time.Duration(waitMS)*time.Millisecond, maxLongPoll))
	page.AgeMS = time.Since(d.Replica.Contact()).Milliseconds()
	_, page.BoxesTag = d.Directory.Tagged()
	if from < page.First {
		httpserve.WriteJSON(w, http.StatusGone, page)
		return
	}
	httpserve.WriteJSON(w, http.StatusOK, page)
}

// awaitRecords returns the page that starts at offset from. If the replica has no
// record there, awaitRecords waits for one until wait has passed or ctx ends.
func (d *Daemon) awaitRecords(ctx context.Context, from int64, wait time.Duration) eventlog.Page {
	deadline := time.After(wait)
	for {
		changed := d.Replica.Changed()
		page := d.Replica.Page(from, maxPageRecords)
		if len(page.Records) > 0 || from != page.Next {
			return page
		}
		select {
		case <-changed:
		case <-deadline:
			return page
		case <-ctx.Done():
			return page
		}
	}
}

// handleBoxes serves the box list as last read, with an entity tag for conditional
// requests.
func (d *Daemon) handleBoxes(w http.ResponseWriter, r *http.Request) {
	boxes, tag := d.Directory.Tagged()
	httpserve.WriteWithETag(w, r, tag, boxes)
}
