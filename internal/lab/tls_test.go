// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/settings"
)

// testCA is a certificate authority whose files are in dir.
type testCA struct {
	dir        string
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64
}

// newTestCA creates a self-signed CA and writes its certificate to ca.pem in a
// temporary directory.
func newTestCA(t *testing.T) *testCA {
	a := &testCA{dir: t.TempDir(), lastSerial: 1}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

// write writes a PEM file and returns its path.
func (a *testCA) write(t *testing.T, name, blockType string, der []byte) string {
	file := filepath.Join(a.dir, name)
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
	return file
}

// issue writes a new certificate and key for 127.0.0.1 to files that each call
// overwrites.
func (a *testCA) issue(t *testing.T) settings.TLS {
	a.lastSerial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(a.lastSerial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, KeyUsage: x509.KeyUsageDigitalSignature}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	raw, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	return settings.TLS{CertFile: a.write(t, "cert.pem", "CERTIFICATE", der), KeyFile: a.write(t, "key.pem", "EC PRIVATE KEY", raw), ClientCAFile: filepath.Join(a.dir, "ca.pem")}
}

// TestTLSAndPeerKey checks that processes with mutual TLS and a shared key serve
// requests and reject a client that lacks the certificate or the key. A replaced
// certificate is loaded without a restart.
func TestTLSAndPeerKey(t *testing.T) {
	t.Parallel()
	a := newTestCA(t)
	pair := a.issue(t)
	key := filepath.Join(a.dir, "peer.key")
	assert.NilError(t, os.WriteFile(key, []byte("shared-peer-key\n"), 0o600))
	l, ctx := startServing(t, Config{
		Gateways:        1,
		Engines:         2,
		IP:              defaultIP, // of the certificates
		GatewaySettings: func(s *settings.Gateway) { s.PeerTLS, s.PeerKeyFile = pair, key },
		SidecarSettings: func(s *settings.Sidecar) { s.PeerTLS, s.PeerKeyFile = pair, key },
	})
	address := l.Boxes[0].Sidecar.Address()

	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	withoutCert := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	_, err := withoutCert.Get("https://" + address + "/peer/v1/status")
	assert.Assert(t, err != nil, "a client without a certificate was accepted")

	cert, err := tls.LoadX509KeyPair(pair.CertFile, pair.KeyFile)
	assert.NilError(t, err)
	var serials []int64
	withoutKey := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{
		RootCAs:      pool,
		Certificates: []tls.Certificate{cert},
		VerifyConnection: func(s tls.ConnectionState) error {
			serials = append(serials, s.PeerCertificates[0].SerialNumber.Int64())
			return nil
		},
	}}}
	status := func() int {
		resp, err := withoutKey.Get("https://" + address + "/peer/v1/status")
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	assert.Equal(t, status(), http.StatusUnauthorized, "a client without the key was accepted")

	a.issue(t)
	for status(); serials[len(serials)-1] != a.lastSerial; status() {
		assert.NilError(t, ctx.Err(), "the new certificate is not used")
		time.Sleep(200 * time.Millisecond)
	}
	resp, text := chat(t, l, 0, "liceo", v1.Model)
	assert.Equal(t, resp.StatusCode, http.StatusOK, text)
}
