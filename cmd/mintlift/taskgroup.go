// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// running is what a daemon has started, so that all of it can be ended: a
// process that ends does so by itself, a test that starts the daemon again at
// the same addresses needs them back.
type taskGroup struct {
	// ctx ends with the daemon.
	ctx     context.Context
	cancel  context.CancelFunc
	goroutines   sync.WaitGroup
	closers []func()
	// drain lets requests in progress end, ahead of a planned stop; it may be nil.
	drain func(ending context.Context)
}

func newTaskGroup(ctx context.Context) *taskGroup {
	r := &taskGroup{}
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

// spawn runs f, which returns once ctx has ended or a closer was called.
func (r *taskGroup) spawn(f func()) { r.goroutines.Go(f) }

// onEnd calls f at the end; the last one first.
func (r *taskGroup) addCloser(f func()) { r.closers = append(r.closers, f) }

// listen listens on a TCP address until the end.
func (r *taskGroup) listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err == nil {
		r.addCloser(func() { _ = listener.Close() })
	}
	return listener, err
}

// serve serves on a listener until the end.
func (r *taskGroup) serve(listener net.Listener, server *http.Server) {
	r.addCloser(func() { _ = server.Close() })
	r.spawn(func() { _ = server.Serve(listener) })
}

// stop ends the daemon as planned, before ending is done.
func (r *taskGroup) stop(ending context.Context) {
	if r.drain != nil {
		r.drain(ending)
	}
	r.close(ending)
}

// end ends all at once, and waits for it until ending is done.
func (r *taskGroup) close(ending context.Context) {
	r.cancel()
	for n := len(r.closers) - 1; n >= 0; n-- {
		r.closers[n]()
	}
	ended := make(chan struct{})
	go func() {
		r.goroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ending.Done():
	}
}
