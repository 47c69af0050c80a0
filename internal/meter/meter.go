// SPDX-License-Identifier: Apache-2.0

// Package meter counts the bytes that a process's connections carry, at the
// socket.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts bytes. The zero value is ready for use, and a nil Meter
// counts nothing.
type Meter struct{ in, out atomic.Int64 }

// In returns the bytes received.
func (m *Meter) In() int64 { return m.in.Load() }

// Out returns the bytes sent.
func (m *Meter) Out() int64 { return m.out.Load() }

// Dial returns a dial function whose connections are counted.
func (m *Meter) Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil || m == nil {
			return c, err
		}
		return &conn{Conn: c, meter: m}, nil
	}
}

// Listener returns ln with its connections counted.
func (m *Meter) Listener(ln net.Listener) net.Listener {
	if m == nil {
		return ln
	}
	return &listener{Listener: ln, meter: m}
}

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
