// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/tcpconn"
)

// tcpSide is an end of a connection of TCP or of this package.
type tcpSide interface {
	net.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// step is something that is done at one end of a connection, and its result in words.
type step func(local, peer tcpSide) string

// settleTime is the time in which the end of a connection reaches the other side.
const settleTime = 20 * time.Millisecond

// resultOf returns the result of a call in words.
func resultOf(n int, err error) string {
	var number syscall.Errno
	switch {
	case err == nil:
		return fmt.Sprint(n)
	case err == io.EOF:
		return "EOF"
	case errors.As(err, &number):
		return map[syscall.Errno]string{syscall.ECONNRESET: "ECONNRESET", syscall.EPIPE: "EPIPE"}[number]
	default:
		return err.Error()
	}
}

func localRead(local, _ tcpSide) string { return resultOf(local.Read(make([]byte, 2))) }

func localWrite(local, _ tcpSide) string { return resultOf(local.Write([]byte("x"))) }

func localPeek(local, _ tcpSide) string { return fmt.Sprint(tcpconn.Closed(local)) }

func peerWrite(_, peer tcpSide) string {
	_, err := peer.Write([]byte("ab"))
	time.Sleep(settleTime)
	return fmt.Sprint(err)
}

func peerReset(_, peer tcpSide) string {
	_ = peer.SetLinger(0)
	return peerClose(nil, peer)
}

func peerClose(_, peer tcpSide) string {
	err := peer.Close()
	time.Sleep(settleTime)
	return fmt.Sprint(err)
}

func peerCloseWrite(_, peer tcpSide) string {
	err := peer.CloseWrite()
	time.Sleep(settleTime)
	return fmt.Sprint(err)
}

// localWriteAndSettle writes bytes that the peer does not read.
func localWriteAndSettle(local, peer tcpSide) string {
	result := localWrite(local, peer)
	time.Sleep(settleTime)
	return result
}

// blockedBoth resets the connection while a read and a write are blocked. Either of them may
// receive the error.
func blockedBoth(local, peer tcpSide) string {
	read, written := make(chan string, 1), make(chan string, 1)
	go func() {
		_, err := local.Write(make([]byte, 32<<20))
		written <- resultOf(0, err)
	}()
	go func() { read <- localRead(local, peer) }()
	time.Sleep(10 * settleTime)
	peerReset(local, peer)
	results := <-read + " " + <-written
	if slices.Contains([]string{"ECONNRESET EPIPE", "EOF ECONNRESET"}, results) {
		return "one"
	}
	return results
}

// Guards against a network in memory that ends connections in other ways than Linux, so that
// tests on it cannot find what a reset does.
func TestConnectionsEndAsThoseOfLinux(t *testing.T) {
	for _, test := range []struct {
		name    string
		steps   []step
		results []string
	}{
		{"reset, read first", []step{peerReset, localRead, localRead, localWrite}, []string{"<nil>", "ECONNRESET", "EOF", "EPIPE"}},
		{"reset, write first", []step{peerReset, localWrite, localRead, localWrite}, []string{"<nil>", "ECONNRESET", "EOF", "EPIPE"}},
		{"reset, peek first", []step{peerReset, localPeek, localRead, localWrite}, []string{"<nil>", "true", "EOF", "EPIPE"}},
		{"reset after bytes", []step{peerWrite, peerReset, localRead, localRead, localRead}, []string{"<nil>", "<nil>", "2", "ECONNRESET", "EOF"}},
		{"reset after bytes, write first", []step{peerWrite, peerReset, localWrite, localRead, localRead}, []string{"<nil>", "<nil>", "ECONNRESET", "2", "EOF"}},
		{"reset after bytes, peek first", []step{peerWrite, peerReset, localPeek, localRead, localRead}, []string{"<nil>", "<nil>", "false", "2", "ECONNRESET"}},
		{"close of one side", []step{peerCloseWrite, localRead, localWrite, localRead}, []string{"<nil>", "EOF", "1", "EOF"}},
		{"close of one side, then reset", []step{peerCloseWrite, peerReset, localRead, localWrite, localRead}, []string{"<nil>", "<nil>", "EOF", "EPIPE", "EOF"}},
		{"close of one side, then reset, peek first", []step{peerCloseWrite, peerReset, localPeek, localWrite}, []string{"<nil>", "<nil>", "true", "EPIPE"}},
		{"close of one side, then reset by unread bytes", []step{localWriteAndSettle, peerCloseWrite, peerClose, localWrite, localRead}, []string{"1", "<nil>", "<nil>", "EPIPE", "EOF"}},
		{"close with unread bytes", []step{localWriteAndSettle, peerClose, localRead, localWrite}, []string{"1", "<nil>", "ECONNRESET", "EPIPE"}},
		{"close with unread bytes, write first", []step{localWriteAndSettle, peerClose, localWrite, localRead}, []string{"1", "<nil>", "ECONNRESET", "EOF"}},
		{"write to a closed end", []step{peerClose, localWriteAndSettle, localRead, localWrite}, []string{"<nil>", "1", "EOF", "EPIPE"}},
		{"reset of a blocked read and write", []step{blockedBoth, localRead, localWrite}, []string{"one", "EOF", "EPIPE"}},
	} {
		play := func(t *testing.T, local, peer tcpSide) {
			var results []string
			for _, s := range test.steps {
				results = append(results, s(local, peer))
			}
			assert.DeepEqual(t, results, test.results)
		}
		t.Run(test.name+"/linux", func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			peer, err := net.Dial("tcp4", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = peer.Close() }()
			local, err := l.Accept()
			assert.NilError(t, err)
			defer func() { _ = local.Close() }()
			play(t, local.(tcpSide), peer.(tcpSide))
		})
		t.Run(test.name+"/memory", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(Config{Delay: time.Millisecond})
				peer, local := connect(t, n.Box("10.0.0.1", "r"), n.Box("10.0.0.2", "r"))
				play(t, local, peer)
			})
		})
	}
}
