// SPDX-License-Identifier: Apache-2.0

package state

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/internal/call"
	"github.com/mintlift/mintlift/internal/standin"
)

// A log that comes back from an older copy takes nothing back, and nothing of its
// new history is applied on top of what was applied before, whether it has grown
// past that or not. Nobody hears the log meanwhile, so that no change is accepted.
func TestLogGoesBack(t *testing.T) {
	for _, grown := range []bool{false, true} {
		t.Run(fmt.Sprint("grown past the state ", grown), func(t *testing.T) {
			log := standin.NewLog()
			server := httptest.NewServer(log.Handler())
			defer server.Close()
			add := func(id string) {
				data, err := json.Marshal(eventlog.Record{ID: id, Schema: eventlog.Schema, Kind: "none"})
				assert.NilError(t, err)
				log.Add(eventlog.ConfigStream, data)
			}
			for n := range 4 {
				add(fmt.Sprint("before-", n))
			}
			client := &eventlog.Client{Call: call.New("test", call.Options{}), Address: strings.TrimPrefix(server.URL, "http://")}
			follower := func() *Follower {
				return &Follower{Replica: NewReplica(), Sources: Only{client}, Log: client, Logger: logr.Discard()}
			}
			f := follower()
			assert.NilError(t, f.step(context.Background(), client))
			assert.Equal(t, f.Replica.Offset(), int64(4))
			held := f.Replica.Checkpoint()

			log.GoBack(eventlog.ConfigStream, 2)
			if grown {
				for n := range 5 {
					add(fmt.Sprint("after-", n))
				}
			}
			heard := f.Replica.Contact()
			time.Sleep(time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			assert.Assert(t, f.step(ctx, client) != nil)
			assert.Equal(t, f.Replica.Offset(), int64(4))
			assert.Assert(t, !f.Replica.Applied("after-2"))
			assert.Equal(t, f.Replica.Contact(), heard)

			late := follower()
			assert.NilError(t, late.step(context.Background(), client))
			assert.NilError(t, late.Replica.Restore(held))
			assert.Assert(t, !late.Replica.Applied("before-3"), "a checkpoint of the history before")
		})
	}
}
