// SPDX-License-Identifier: Apache-2.0

// Package keys holds the secrets that settings name as files: shared keys
// and TLS certificates. Both are read again when their files change, so
// that they can be replaced while the process runs. A file that has become
// unreadable leaves the former value in force.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/settings"
)

// checkInterval is how often a file's time is looked at.
const checkInterval = time.Second

// fileWatcher calls read when one of the files has changed.
type fileWatcher struct {
	mu        sync.Mutex
	files     []string
	lastCheck time.Time
	modTime   time.Time
	reload    func() error
}

func (w *fileWatcher) refresh() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.lastCheck) < checkInterval {
		return nil
	}
	w.lastCheck = now
	newest := w.modTime
	for _, f := range w.files {
		if info, err := os.Stat(f); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	if newest.Equal(w.modTime) {
		return nil
	}
	if err := w.reload(); err != nil {
		return err
	}
	w.modTime = newest
	return nil
}

// File is a key in a file. Use OpenFile.
type File struct {
	watch fileWatcher
	mu    sync.Mutex
	key   string
}

// OpenFile reads the key in a file; an empty path is an empty key.
func OpenFile(path string) (*File, error) {
	f := new(File)
	if path == "" {
		return f, nil
	}
	f.watch = fileWatcher{files: []string{path}, reload: func() error { return f.load(path) }}
	if err := f.watch.refresh(); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *File) load(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "key file")
	}
	key := strings.TrimSpace(string(b))
	if key == "" {
		return errors.NotValidf("empty key file %s", path)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.key = key
	return nil
}

// Key returns the key as the file now has it.
func (f *File) Key() string {
	if len(f.watch.files) > 0 {
		_ = f.watch.refresh() // an unreadable file leaves the former key
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.key
}

// keyPair is a certificate with its clients' authority.
type keyPair struct {
	watch     fileWatcher
	mu        sync.Mutex
	cert      *tls.Certificate
	clientCAs *x509.CertPool
}

func openKeyPair(t settings.TLS) (*keyPair, error) {
	p := new(keyPair)
	files := []string{t.CertFile, t.KeyFile}
	if t.ClientCAFile != "" {
		files = append(files, t.ClientCAFile)
	}
	p.watch = fileWatcher{files: files, reload: func() error { return p.load(t) }}
	if err := p.watch.refresh(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *keyPair) load(t settings.TLS) error {
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return errors.Annotate(err, "certificate")
	}
	var pool *x509.CertPool
	if t.ClientCAFile != "" {
		pem, err := os.ReadFile(t.ClientCAFile)
		if err != nil {
			return errors.Annotate(err, "client CA")
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.NotValidf("client CA file %s", t.ClientCAFile)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cert, p.clientCAs = &cert, pool
	return nil
}

func (p *keyPair) current() (*tls.Certificate, *x509.CertPool) {
	_ = p.watch.refresh() // unreadable files leave the former pair
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cert, p.clientCAs
}

// ServerTLS returns the configuration of a listener, or nil for plain HTTP.
func ServerTLS(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	p, err := openKeyPair(t)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := p.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				c.ClientCAs, c.ClientAuth = pool, tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}, nil
}

// PeerTLS returns the configuration of a client of other mintlift
// processes: it shows the process's own certificate and trusts the
// authority that signs all of them. It is nil for plain HTTP.
func PeerTLS(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	p, err := openKeyPair(t)
	if err != nil {
		return nil, err
	}
	_, pool := p.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
	}, nil
}
