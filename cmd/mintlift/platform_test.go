// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/loadreport"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/routing"
)

// nobody takes what the operator wrote.
type nobody struct{}

func (nobody) Configured(*routing.Configuration) {}
func (nobody) Named(platform.Naming, bool)       {}

// A sidecar that gateways speak to reads the store once; one that hears
// none reads on its own.
func TestSidecarReadsSparingly(t *testing.T) {
	var calls atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = io.WriteString(w, `{"items":[],"more":false,"end":0}`)
	}))
	defer store.Close()
	publisher, err := loadreport.NewPublisher("127.0.0.1:17701", func(string, int) {})
	assert.NilError(t, err)
	defer publisher.Close()
	subscriber, err := loadreport.NewSubscriber("127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	speaking, silence := context.WithCancel(ctx)
	go subscriber.Run(speaking, func() []string { return []string{"127.0.0.1:17701"} },
		func() map[string]int { return nil }, nil, func(fleet.Report, time.Duration) {})
	for publisher.Asked().IsZero() {
		time.Sleep(5 * time.Millisecond)
	}
	p := &platformProcess{
		events:  logr.Discard(),
		watcher: platform.NewWatcher(platform.NewStore(strings.TrimPrefix(store.URL, "http://")), logr.Discard()),
	}
	go p.watchOperatorSparingly(ctx, nobody{}, publisher)
	time.Sleep(4 * time.Second)
	assert.Equal(t, calls.Load(), int32(1))
	silence()
	for began := time.Now(); calls.Load() < 3; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second, "it does not read on its own")
	}
}
