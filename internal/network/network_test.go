// SPDX-License-Identifier: Apache-2.0

package network

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSystem opens a listener, a connection and datagram sockets of the operating system.
func TestSystem(t *testing.T) {
	for _, idle := range []time.Duration{0, time.Second} {
		l, err := System{}.Listen(t.Context(), "tcp4", "127.0.0.1:0", idle)
		assert.NilError(t, err)
		c, err := OrSystem(nil).Dialer(time.Second, idle)(t.Context(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		assert.NilError(t, l.Close())
		_, err = System{}.Dialer(time.Second, idle)(context.Background(), "tcp", l.Addr().String())
		var op *net.OpError
		assert.Assert(t, errors.As(err, &op) && op.Op == "dial", "%v", err)
	}
	a, err := System{}.ListenDatagrams("127.0.0.1:0")
	assert.NilError(t, err)
	defer a.Close()
	_, err = a.WriteToUDPAddrPort([]byte("x"), netip.MustParseAddrPort(a.LocalAddr().String()))
	assert.NilError(t, err)
	n, from, err := a.ReadFromUDPAddrPort(make([]byte, 10))
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	assert.Equal(t, from.String(), a.LocalAddr().String())
	_, err = System{}.ListenDatagrams("127.0.0.1")
	assert.Assert(t, err != nil)
}

// systemNetwork matches uses of the operating system's network.
var systemNetwork = regexp.MustCompile(`\bnet\.(Listen|Dial)(TCP|UDP|IP|Unix|Packet|Timeout|MulticastUDP)?\(|\bnet\.(Dialer|ListenConfig)\b|\btcpconn\.(Listen|Dialer)\(|http\.(Default(Client|Transport)|Get|Post|Head)\b|network\.System\{`)

// The daemons of the platform must use the network that they get, or they cannot run on a
// network in memory.
func TestDaemonsUseTheirNetwork(t *testing.T) {
	for _, pattern := range []string{
		"ingress/*.go", "loadreport/*.go", "storerelay/*.go", "storewatch/*.go", "installer/*.go", "platform/*.go", "upstream/*.go", "sendbuffer/*.go", "httpserve/*.go",
		"internal/call/*.go", "internal/meter/*.go", "cmd/mintlift/platform_*.go", "cmd/mintlift/taskgroup.go",
	} {
		files, err := filepath.Glob(filepath.Join("..", "..", pattern))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, pattern)
		for _, name := range files {
			// platform_suspects.go also holds a command for operators.
			if strings.HasSuffix(name, "_test.go") || filepath.Base(name) == "platform_suspects.go" {
				continue
			}
			text, err := os.ReadFile(name)
			assert.NilError(t, err)
			for n, line := range strings.Split(string(text), "\n") {
				assert.Check(t, !systemNetwork.MatchString(line), "%s:%d: %s", name, n+1, strings.TrimSpace(line))
			}
		}
	}
}
