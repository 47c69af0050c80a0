// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/internal/tcpconn"
	"github.com/mintlift/mintlift/sendbuffer"
)

var (
	_ network.Network        = (*Box)(nil)
	_ sendbuffer.Socket      = (*Conn)(nil)
	_ tcpconn.Peeker         = (*Conn)(nil)
	_ tcpconn.SilenceAllower = (*Conn)(nil)
	_ tcpconn.Acknowledger   = (*Conn)(nil)
	_ net.Listener           = (*listener)(nil)
	_ network.DatagramConn   = (*datagramConn)(nil)
)

// testNetwork is a network with two boxes of one region and one of another.
type testNetwork struct {
	*Network
	a, b, far *Box
}

// run runs f in a bubble, with a network.
func run(t *testing.T, c Config, f func(t *testing.T, n *testNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{Network: New(c)}
		n.a, n.b, n.far = n.Box("10.0.0.1", "r"), n.Box("10.0.0.2", "r"), n.Box("10.1.0.1", "s")
		f(t, n)
	})
}

// connect returns the dialed and the accepted end of a connection, with keep-alive probes.
// They are closed when the test ends.
func connect(t *testing.T, from, to *Box) (dialed, accepted *Conn) {
	t.Helper()
	l, err := to.Listen(t.Context(), "tcp4", to.ip.String()+":0", time.Second)
	assert.NilError(t, err)
	defer l.Close()
	d, err := from.Dialer(time.Second, time.Second)(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	a, err := l.Accept()
	assert.NilError(t, err)
	dialed, accepted = d.(*Conn), a.(*Conn)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed, accepted
}

// write writes text to a connection.
func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(text))
	assert.NilError(t, err)
}

// read reads exactly as many bytes as text has, and compares them.
func read(t *testing.T, c net.Conn, text string) {
	t.Helper()
	b := make([]byte, len(text))
	_, err := io.ReadFull(c, b)
	assert.NilError(t, err)
	assert.Equal(t, string(b), text)
}

func TestDialAndDelay(t *testing.T) {
	run(t, Config{Delay: 5 * time.Millisecond, RegionDelay: 40 * time.Millisecond}, func(t *testing.T, n *testNetwork) {
		for _, c := range []struct {
			to    *Box
			delay time.Duration
		}{{n.a, 0}, {n.b, 5 * time.Millisecond}, {n.far, 40 * time.Millisecond}} {
			start := time.Now()
			dialed, accepted := connect(t, n.a, c.to)
			assert.Equal(t, time.Since(start), 2*c.delay)
			assert.Equal(t, dialed.RemoteAddr().String(), accepted.LocalAddr().String())
			assert.Equal(t, accepted.RemoteAddr().String(), dialed.LocalAddr().String())
			start = time.Now()
			write(t, dialed, "one")
			write(t, dialed, "two")
			assert.Equal(t, time.Since(start), time.Duration(0), "a write does not wait for its delivery")
			read(t, accepted, "onetwo")
			assert.Equal(t, time.Since(start), c.delay)
		}
	})
}

func TestDialErrors(t *testing.T) {
	run(t, Config{Delay: time.Millisecond}, func(t *testing.T, n *testNetwork) {
		dial := n.a.Dialer(time.Second, 0)
		isDialError := func(err error) {
			t.Helper()
			var op *net.OpError
			assert.Assert(t, errors.As(err, &op) && op.Op == "dial", "%v", err)
		}
		_, err := dial(t.Context(), "tcp", "10.0.0.2:80")
		isDialError(err)
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)

		n.Silence(n.b, n.a)
		start := time.Now()
		_, err = dial(t.Context(), "tcp", "10.0.0.2:80")
		isDialError(err)
		var timeout net.Error
		assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
		assert.Equal(t, time.Since(start), time.Second)

		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err = dial(ctx, "tcp", "10.9.9.9:80")
		assert.ErrorIs(t, err, context.Canceled)

		l, err := n.b.Listen(t.Context(), "tcp4", "10.0.0.2:80", 0)
		assert.NilError(t, err)
		_, err = n.b.Listen(t.Context(), "tcp4", "10.0.0.2:80", 0)
		assert.ErrorIs(t, err, syscall.EADDRINUSE)
		_, err = n.a.Listen(t.Context(), "tcp4", "10.0.0.2:81", 0)
		assert.ErrorIs(t, err, syscall.EADDRNOTAVAIL)
		accepted := make(chan error)
		go func() {
			_, err := l.Accept()
			accepted <- err
		}()
		synctest.Wait()
		assert.NilError(t, l.Close())
		assert.ErrorIs(t, <-accepted, net.ErrClosed)
		l, err = n.b.Listen(t.Context(), "tcp4", "10.0.0.2:80", 0)
		assert.NilError(t, err, "the address is free again")
		assert.NilError(t, l.Close())
	})
}

// A writer must wait while the reader does not read, and must lose no byte.
func TestFlowControl(t *testing.T) {
	run(t, Config{Delay: time.Millisecond}, func(t *testing.T, n *testNetwork) {
		dialed, accepted := connect(t, n.a, n.b)
		k, err := dialed.WriteNow(make([]byte, 2*windowBytes))
		assert.NilError(t, err)
		assert.Equal(t, k, windowBytes)
		assert.NilError(t, dialed.SetWriteDeadline(time.Now().Add(time.Second)))
		start := time.Now()
		k, err = dialed.Write([]byte("x"))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, k, 0)
		assert.Equal(t, time.Since(start), time.Second)
		assert.NilError(t, dialed.SetWriteDeadline(time.Time{}))
		data := make([]byte, 5*windowBytes)
		for i := range data {
			data[i] = byte(i / 7)
		}
		go func() {
			_, _ = dialed.Write(data)
			_ = dialed.Close()
		}()
		all, err := io.ReadAll(accepted)
		assert.NilError(t, err)
		assert.Equal(t, len(all), len(data)+windowBytes)
		assert.DeepEqual(t, all[windowBytes:], data)
	})
}

func TestReadDeadline(t *testing.T) {
	run(t, Config{}, func(t *testing.T, n *testNetwork) {
		dialed, accepted := connect(t, n.a, n.b)
		assert.NilError(t, accepted.SetReadDeadline(time.Now().Add(time.Second)))
		start := time.Now()
		_, err := accepted.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, time.Since(start), time.Second)
		assert.NilError(t, accepted.SetDeadline(time.Time{}))
		failed := make(chan error)
		go func() {
			_, err := accepted.Read(make([]byte, 1))
			failed <- err
		}()
		synctest.Wait()
		assert.NilError(t, accepted.SetReadDeadline(time.Unix(1, 0)), "a deadline in the past ends a read in progress")
		assert.ErrorIs(t, <-failed, os.ErrDeadlineExceeded)
		assert.NilError(t, accepted.SetReadDeadline(time.Time{}))
		write(t, dialed, "x")
		read(t, accepted, "x")
	})
}

// Reads after a close get what was sent before, then EOF. The other direction stays open
// after CloseWrite.
func TestCloseAndCloseWrite(t *testing.T) {
	run(t, Config{Delay: time.Millisecond}, func(t *testing.T, n *testNetwork) {
		dialed, accepted := connect(t, n.a, n.b)
		write(t, dialed, "request")
		assert.NilError(t, dialed.CloseWrite())
		time.Sleep(10 * time.Millisecond)
		readable, _ := accepted.Peek()
		assert.Assert(t, readable)
		assert.Assert(t, !tcpconn.Closed(accepted), "unread bytes hide the close")
		read(t, accepted, "request")
		assert.Assert(t, tcpconn.Closed(accepted))
		_, err := accepted.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		_, err = dialed.Write([]byte("x"))
		assert.ErrorIs(t, err, syscall.EPIPE)
		write(t, accepted, "response")
		assert.NilError(t, accepted.Close())
		read(t, dialed, "response")
		_, err = dialed.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		_, err = accepted.Read(make([]byte, 1))
		assert.ErrorIs(t, err, net.ErrClosed)
		_, err = accepted.Write([]byte("x"))
		assert.ErrorIs(t, err, net.ErrClosed)
	})
}

// A peer that has closed, or closes with unread bytes or with SetLinger(0), resets. The error
// is reported once; after the peer's close, the end of the stream hides it from reads.
func TestResets(t *testing.T) {
	run(t, Config{Delay: time.Millisecond}, func(t *testing.T, n *testNetwork) {
		for name, end := range map[string]func(dialed, accepted *Conn){
			"write to a closed end": func(dialed, accepted *Conn) {
				_ = accepted.Close()
				write(t, dialed, "x")
			},
			"unread bytes": func(dialed, accepted *Conn) {
				write(t, dialed, "x")
				time.Sleep(2 * time.Millisecond)
				_ = accepted.Close()
			},
			"linger": func(_, accepted *Conn) { _, _ = accepted.SetLinger(0), accepted.Close() },
			"box":    func(*Conn, *Conn) { n.b.Reset() },
		} {
			dialed, accepted := connect(t, n.a, n.b)
			end(dialed, accepted)
			time.Sleep(10 * time.Millisecond)
			_, err := dialed.Read(make([]byte, 1))
			if name == "write to a closed end" {
				assert.Equal(t, err, io.EOF, name)
			} else {
				assert.ErrorIs(t, err, syscall.ECONNRESET, name)
			}
			_, err = dialed.Write([]byte("x"))
			assert.ErrorIs(t, err, syscall.EPIPE, name)
			assert.Assert(t, tcpconn.Closed(dialed), name)
		}
	})
}

// Bytes sent during a short silence arrive after it; both ends give up on a long one, also
// if it is one-way.
func TestSilence(t *testing.T) {
	run(t, Config{Delay: time.Millisecond}, func(t *testing.T, n *testNetwork) {
		dialed, accepted := connect(t, n.a, n.b)
		n.Silence(n.a, n.b)
		write(t, dialed, "late")
		write(t, accepted, "in time")
		time.Sleep(100 * time.Millisecond)
		read(t, dialed, "in time")
		readable, closed := accepted.Peek()
		assert.Assert(t, !readable && !closed)
		n.Restore(n.a, n.b)
		start := time.Now()
		read(t, accepted, "late")
		assert.Equal(t, time.Since(start), retransmitDelay)
		time.Sleep(10 * time.Second)
		assert.Assert(t, !tcpconn.Closed(dialed) && !tcpconn.Closed(accepted))

		n.Silence(n.a, n.b)
		start = time.Now()
		write(t, dialed, "lost")
		_, err := dialed.Read(make([]byte, 1))
		assert.ErrorIs(t, err, syscall.ETIMEDOUT)
		assert.Equal(t, time.Since(start), unackedTimeout)
		_, err = accepted.Read(make([]byte, 1))
		assert.ErrorIs(t, err, syscall.ETIMEDOUT)
		assert.Equal(t, time.Since(start), time.Second+probeInterval)
	})
}

// Open connections that have been silenced stay so; new ones work.
func TestSilenceConns(t *testing.T) {
	run(t, Config{Delay: time.Millisecond}, func(t *testing.T, n *testNetwork) {
		dialed, accepted := connect(t, n.a, n.b)
		n.a.SilenceConns()
		start := time.Now()
		write(t, dialed, "lost")
		time.Sleep(time.Second)
		assert.Equal(t, dialed.Unacknowledged(), len("lost"))
		readable, closed := accepted.Peek()
		assert.Assert(t, !readable && !closed)
		_, err := dialed.Read(make([]byte, 1))
		assert.ErrorIs(t, err, syscall.ETIMEDOUT)
		assert.Equal(t, time.Since(start), unackedTimeout)
		dialed, accepted = connect(t, n.a, n.b)
		write(t, dialed, "x")
		read(t, accepted, "x")
		assert.Equal(t, dialed.Unacknowledged(), 0)
	})
}

// All traffic of a box, or between two regions, shares one rate.
func TestRates(t *testing.T) {
	const rate, bytes = 1e6, 250 << 10
	transfer := func(t *testing.T, from, to *Box) <-chan time.Duration {
		dialed, accepted := connect(t, from, to)
		done, start := make(chan time.Duration, 1), time.Now()
		go func() { _, _ = dialed.Write(make([]byte, bytes)) }()
		go func() {
			_, _ = io.ReadFull(accepted, make([]byte, bytes))
			done <- time.Since(start)
		}()
		return done
	}
	seconds := func(d time.Duration) float64 { return d.Seconds() * rate / bytes }
	near := func(t *testing.T, got, want float64) {
		t.Helper()
		assert.Assert(t, got > 0.9*want && got < 1.15*want, "%.2f instead of %.2f times the time of one transfer alone", got, want)
	}
	run(t, Config{BoxRate: rate}, func(t *testing.T, n *testNetwork) {
		near(t, seconds(<-transfer(t, n.a, n.b)), 1)
		first, second := transfer(t, n.a, n.b), transfer(t, n.a, n.far)
		near(t, seconds(max(<-first, <-second)), 2)
		n.a.SetRate(rate / 4)
		near(t, seconds(<-transfer(t, n.a, n.b)), 4)
	})
	run(t, Config{RegionRate: rate}, func(t *testing.T, n *testNetwork) {
		first, second := transfer(t, n.a, n.far), transfer(t, n.b, n.far)
		near(t, seconds(max(<-first, <-second)), 2)
		back := transfer(t, n.far, n.a)
		near(t, seconds(<-back), 1)
		assert.Equal(t, <-transfer(t, n.a, n.b), time.Duration(0), "no border is crossed")
		n.SetRegionRate("r", "s", rate/2)
		near(t, seconds(<-transfer(t, n.a, n.far)), 2)
	})
}

// Lost segments arrive late and in order; lost datagrams do not arrive.
func TestLoss(t *testing.T) {
	run(t, Config{Loss: 0.3, Seed: 1}, func(t *testing.T, n *testNetwork) {
		dialed, accepted := connect(t, n.a, n.b)
		start, text := time.Now(), ""
		for i := range 50 {
			part := string(rune('a' + i%26))
			text += part
			write(t, dialed, part)
		}
		read(t, accepted, text)
		assert.Assert(t, time.Since(start) >= retransmitDelay)

		from, err := n.a.ListenDatagrams("10.0.0.1:0")
		assert.NilError(t, err)
		to, err := n.b.ListenDatagrams("10.0.0.2:53")
		assert.NilError(t, err)
		for range 100 {
			_, err = from.WriteToUDPAddrPort([]byte("x"), netip.MustParseAddrPort("10.0.0.2:53"))
			assert.NilError(t, err)
		}
		synctest.Wait()
		assert.NilError(t, from.Close())
		got := len(to.(*datagramConn).waiting)
		assert.Assert(t, got > 50 && got < 90, "%d of 100 arrived", got)
		assert.NilError(t, to.Close())
	})
}

func TestDatagrams(t *testing.T) {
	run(t, Config{Delay: 3 * time.Millisecond}, func(t *testing.T, n *testNetwork) {
		a, err := n.a.ListenDatagrams("10.0.0.1:53")
		assert.NilError(t, err)
		b, err := n.b.ListenDatagrams("10.0.0.2:53")
		assert.NilError(t, err)
		address := netip.MustParseAddrPort("10.0.0.2:53")
		start := time.Now()
		text := []byte("hello")
		_, err = a.WriteToUDPAddrPort(text, address)
		assert.NilError(t, err)
		clear(text) // the sender may reuse its buffer
		buffer := make([]byte, 100)
		k, from, err := b.ReadFromUDPAddrPort(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:k]), "hello")
		assert.Equal(t, from.String(), a.LocalAddr().String())
		assert.Equal(t, time.Since(start), 3*time.Millisecond)

		n.Silence(n.a, n.b)
		_, err = a.WriteToUDPAddrPort([]byte("lost"), address)
		assert.NilError(t, err)
		n.Restore(n.a, n.b)
		_, err = a.WriteToUDPAddrPort([]byte("next"), address)
		assert.NilError(t, err)
		k, _, err = b.ReadFromUDPAddrPort(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:k]), "next")
		failed := make(chan error)
		go func() {
			_, _, err := b.ReadFromUDPAddrPort(buffer)
			failed <- err
		}()
		synctest.Wait()
		assert.NilError(t, b.Close())
		assert.ErrorIs(t, <-failed, net.ErrClosed)
		_, err = b.WriteToUDPAddrPort(text, address)
		assert.ErrorIs(t, err, net.ErrClosed)
		assert.NilError(t, a.Close())
	})
}

// net/http serves and calls over the network, also behind a send buffer, and sees that a
// caller has left.
func TestHTTP(t *testing.T) {
	run(t, Config{Delay: time.Millisecond}, func(t *testing.T, n *testNetwork) {
		l, err := n.b.Listen(t.Context(), "tcp4", "10.0.0.2:80", time.Second)
		assert.NilError(t, err)
		left := make(chan time.Time, 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-r.Context().Done()
				left <- time.Now()
				return
			}
			_, _ = w.Write(make([]byte, 3*windowBytes))
		})}
		served := make(chan error)
		go func() { served <- server.Serve(sendbuffer.NewPool(1<<20, nil).Listen(l)) }()
		transport := &http.Transport{DialContext: n.a.Dialer(time.Second, time.Second)}
		client := &http.Client{Transport: transport}
		for range 3 {
			response, err := client.Get("http://10.0.0.2:80/")
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), 3*windowBytes)
			assert.NilError(t, response.Body.Close())
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://10.0.0.2:80/wait", nil)
		assert.NilError(t, err)
		_, err = client.Do(r)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, (<-left).Sub(start) <= time.Second+2*time.Millisecond)
		transport.CloseIdleConnections()
		assert.NilError(t, server.Close())
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
}
