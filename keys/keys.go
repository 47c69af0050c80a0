// SPDX-License-Identifier: Apache-2.0

// Package keys loads shared keys and TLS certificates from the files whose paths
// are in the settings. It reloads them when a file's modification time advances,
// so that they can be replaced while the process runs. If a reload fails, the
// last value loaded stays in use.
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

// checkInterval is the minimum time between two checks of the files'
// modification times.
const checkInterval = time.Second

// fileWatcher calls reload when the newest modification time of files advances.
// Files that do not exist are ignored. mu guards lastCheck and modTime and is
// held during reload.
type fileWatcher struct {
	mu        sync.Mutex
	files     []string // paths
	lastCheck time.Time
	modTime   time.Time // newest modification time at the last successful reload
	reload    func() error
}

// refresh calls reload if a file has changed. It checks the files at most once per
// checkInterval. A failed reload is repeated at the next check.
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

// File is a key loaded from a file. Use OpenFile.
type File struct {
	watcher fileWatcher
	mu      sync.Mutex // guards key
	key     string
}

// OpenFile loads the key from a file, without surrounding white space. If path is
// empty, the key is empty. An empty file is an error.
func OpenFile(path string) (*File, error) {
	f := new(File)
	if path == "" {
		return f, nil
	}
	f.watcher = fileWatcher{files: []string{path}, reload: func() error { return f.load(path) }}
	if err := f.watcher.refresh(); err != nil {
		return nil, err
	}
	return f, nil
}

// load reads the key from path. On an error the previous key stays in use.
func (f *File) load(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "read key file")
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

// Key returns the current key, reloading it first if the file has changed.
func (f *File) Key() string {
	if len(f.watcher.files) > 0 {
		_ = f.watcher.refresh() // on failure the last key stays in use
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.key
}

// keyPair is a certificate with its key, and the CAs of client certificates, loaded
// from the files of settings.TLS.
type keyPair struct {
	watcher   fileWatcher
	mu        sync.Mutex // guards cert and clientCAs
	cert      *tls.Certificate
	clientCAs *x509.CertPool // nil without a client CA file
}

// openKeyPair loads the certificate, its key and the client CAs from the files of t.
func openKeyPair(t settings.TLS) (*keyPair, error) {
	p := new(keyPair)
	files := []string{t.CertFile, t.KeyFile}
	if t.ClientCAFile != "" {
		files = append(files, t.ClientCAFile)
	}
	p.watcher = fileWatcher{files: files, reload: func() error { return p.load(t) }}
	if err := p.watcher.refresh(); err != nil {
		return nil, err
	}
	return p, nil
}

// load reads the files of t. On an error the previous certificates stay in use.
func (p *keyPair) load(t settings.TLS) error {
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return errors.Annotate(err, "load certificate")
	}
	var clientCAs *x509.CertPool
	if t.ClientCAFile != "" {
		pem, err := os.ReadFile(t.ClientCAFile)
		if err != nil {
			return errors.Annotate(err, "read client CA file")
		}
		clientCAs = x509.NewCertPool()
		if !clientCAs.AppendCertsFromPEM(pem) {
			return errors.NotValidf("PEM certificates in client CA file %s", t.ClientCAFile)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cert, p.clientCAs = &cert, clientCAs
	return nil
}

// current returns the certificate and the client CAs, reloading them first if a file
// has changed.
func (p *keyPair) current() (*tls.Certificate, *x509.CertPool) {
	_ = p.watcher.refresh() // on failure the last certificate stays in use
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cert, p.clientCAs
}

// ServerTLS returns the TLS configuration of a listener, or nil for plain HTTP.
// With a client CA file, client certificates are required and verified.
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
			cert, clientCAs := p.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}}
			if clientCAs != nil {
				c.ClientCAs, c.ClientAuth = clientCAs, tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}, nil
}

// PeerTLS returns the TLS configuration of a client of other mintlift
// processes, or nil for plain HTTP. The client presents the process's own
// certificate. It trusts the CAs of the client CA file, which are not reloaded;
// without that file it trusts the system's CAs.
func PeerTLS(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	p, err := openKeyPair(t)
	if err != nil {
		return nil, err
	}
	_, peerCAs := p.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    peerCAs,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := p.current()
			return cert, nil
		},
	}, nil
}
