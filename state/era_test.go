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

// TestLogRestoredFromOlderCopy checks that a follower whose log was restored from an
// older copy keeps its state, applies none of the log's new records, and reports no
// contact with the log, whether or not the log has grown past the state's offset.
func TestLogRestoredFromOlderCopy(t *testing.T) {
	for _, longer := range []bool{false, true} {
		t.Run(fmt.Sprint("grown past the state ", longer), func(t *testing.T) {
			log := standin.NewLog()
			server := httptest.NewServer(log.Handler())
			defer server.Close()
			appendRecord := func(id string) {
				data, err := json.Marshal(eventlog.Record{ID: id, Schema: eventlog.Schema, Kind: "none"})
				assert.NilError(t, err)
				log.Add(eventlog.ConfigStream, data)
			}
			for n := range 4 {
				appendRecord(fmt.Sprint("before-", n))
			}
			client := &eventlog.Client{Call: call.New("test", call.Options{}), Address: strings.TrimPrefix(server.URL, "http://")}
			newFollower := func() *Follower {
				return &Follower{Replica: NewReplica(), Sources: SingleSource{client}, Log: client, Logger: logr.Discard()}
			}
			f := newFollower()
			assert.NilError(t, f.readOnce(context.Background(), client))
			assert.Equal(t, f.Replica.Offset(), int64(4))
			checkpoint := f.Replica.Checkpoint()

			log.Rollback(eventlog.ConfigStream, 2)
			if longer {
				for n := range 5 {
					appendRecord(fmt.Sprint("after-", n))
				}
			}
			contact := f.Replica.Contact()
			time.Sleep(time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			assert.Assert(t, f.readOnce(ctx, client) != nil)
			assert.Equal(t, f.Replica.Offset(), int64(4))
			assert.Assert(t, !f.Replica.Applied("after-2"))
			assert.Equal(t, f.Replica.Contact(), contact)

			restarted := newFollower()
			assert.NilError(t, restarted.readOnce(context.Background(), client))
			assert.NilError(t, restarted.Replica.Restore(checkpoint))
			assert.Assert(t, !restarted.Replica.Applied("before-3"), "a checkpoint of the previous era was restored")
		})
	}
}
