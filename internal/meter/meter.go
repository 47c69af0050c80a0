// SPDX-License-Identifier: Apache-2.0

// Package meter counts the bytes that a process receives and sends on its
// connections, at the socket: headers and TLS overhead are included.
package meter

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/mintlift/mintlift/internal/network"
)

// Meter counts bytes. It is safe for concurrent use. The zero value is ready for
// use; Dial and Listener of a nil Meter count nothing.
type Meter struct{ in, out atomic.Int64 }

// In returns the bytes received.
func (m *Meter) In() int64 { return m.in.Load() }

// Out returns the bytes sent.
func (m *Meter) Out() int64 { return m.out.Load() }

// Dial returns a dial function that uses dial and counts the bytes of its connections.
func (m *Meter) Dial(dial network.DialFunc) network.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil || m == nil {
			return c, err
		}
		return &conn{Conn: c, meter: m}, nil
	}
}

// Listener returns a listener that counts the bytes of the connections of ln.
func (m *Meter) Listener(ln net.Listener) net.Listener {
	if m == nil {
		return ln
	}
	return &listener{Listener: ln, meter: m}
}

// listener wraps the connections that it accepts, so that meter counts their bytes.
type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, meter: l.meter}, nil
}

// conn counts the bytes that it reads and writes in meter.
type conn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}
