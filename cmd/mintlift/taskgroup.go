// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/mintlift/mintlift/internal/network"
)

// taskGroup holds the goroutines, listeners and servers of a daemon and closes them
// together. Once closed, the addresses are free again.
type taskGroup struct {
	// ctx is canceled when the group is closed.
	ctx        context.Context
	cancel     context.CancelFunc
	network    network.Network
	goroutines sync.WaitGroup
	closers    []func()
	// drain waits until the requests in progress have ended or ctx is done; it may
	// be nil.
	drain func(ctx context.Context)
}

// newTaskGroup returns an empty group that listens by n; its context derives from ctx.
func newTaskGroup(ctx context.Context, n network.Network) *taskGroup {
	g := &taskGroup{network: n}
	g.ctx, g.cancel = context.WithCancel(ctx)
	return g
}

// spawn runs f in a goroutine. f must return once g.ctx is canceled or the closers
// have been called.
func (g *taskGroup) spawn(f func()) { g.goroutines.Go(f) }

// addCloser registers a function for closeAll to call, in reverse order of registration.
func (g *taskGroup) addCloser(f func()) { g.closers = append(g.closers, f) }

// listen listens on a TCP address; closeAll closes the listener.
func (g *taskGroup) listen(address string) (net.Listener, error) {
	listener, err := g.network.Listen(g.ctx, "tcp4", address, 0)
	if err == nil {
		g.addCloser(func() { _ = listener.Close() })
	}
	return listener, err
}

// serve serves on a listener in a goroutine; closeAll closes the server.
func (g *taskGroup) serve(listener net.Listener, server *http.Server) {
	g.addCloser(func() { _ = server.Close() })
	g.spawn(func() { _ = server.Serve(listener) })
}

// stop drains the daemon, then closes the group; ctx limits both.
func (g *taskGroup) stop(ctx context.Context) {
	if g.drain != nil {
		g.drain(ctx)
	}
	g.closeAll(ctx)
}

// closeAll cancels the context, calls the closers and waits until all goroutines have
// returned or ctx is done.
func (g *taskGroup) closeAll(ctx context.Context) {
	g.cancel()
	for n := len(g.closers) - 1; n >= 0; n-- {
		g.closers[n]()
	}
	done := make(chan struct{})
	go func() {
		g.goroutines.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
