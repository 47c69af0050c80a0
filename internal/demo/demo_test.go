// SPDX-License-Identifier: Apache-2.0

package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/admin"
)

// TestPollRetriesFailedRequests checks that poll retries a failed request, and
// that it returns the last error when its context ends.
func TestPollRetriesFailedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		d := &demo{out: &out, started: time.Now()}
		requests := 0
		got, err := d.poll(t.Context(), func(context.Context) (*admin.Progress, error) {
			requests++
			if requests == 2 {
				return nil, errors.New("dial: i/o timeout")
			}
			p := &admin.Progress{Boxes: []admin.BoxProgress{{Reached: true}}}
			if requests == 3 {
				p.Serving = 1
			}
			return p, nil
		}, nil)
		assert.NilError(t, err)
		assert.Equal(t, got.Serving, 1)
		assert.Assert(t, strings.Contains(out.String(), "i/o timeout"), out.String())

		ctx, cancel := context.WithTimeout(t.Context(), stepTimeout)
		defer cancel()
		_, err = d.poll(ctx, func(context.Context) (*admin.Progress, error) { return nil, errors.New("gone") }, nil)
		assert.ErrorContains(t, err, "gone")
	})
}
