// Package certs configures TLS for connections with callers and operators, and
// mutual TLS between the system's own processes. Certificates are reloaded while
// the process runs, so that they can be replaced without a restart.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Files are the TLS settings of one kind of connection. The zero value disables
// TLS.
type Files struct {
	// Cert and Key are the process's own certificate chain and key, PEM.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA are the CA certificates that must have issued the peer's certificate,
	// PEM. For connections from callers it is empty: they authenticate with an
	// API key instead of a certificate.
	CA string `json:"ca"`
	// Name is a DNS name that the peer's certificate must contain, so that other
	// certificates of the same CA are rejected; empty accepts any name.
	Name string `json:"name"`
}

// Enabled reports whether TLS is enabled.
func (f Files) Enabled() bool { return f != Files{} }

// Validate rejects inconsistent settings.
func (f Files) Validate() error {
	if !f.Enabled() {
		return nil
	}
	if f.Cert == "" || f.Key == "" {
		return eris.New("tls: cert and key must be set together")
	}
	if f.Name != "" && f.CA == "" {
		return eris.New("tls: name requires ca")
	}
	return nil
}

// ValidateMutual is Validate for connections with mutual authentication. Without
// ca a listener would not request a certificate, and anyone who can reach it could
// act as a process of the fleet.
func (f Files) ValidateMutual() error {
	if f.Enabled() && f.CA == "" {
		return eris.New("peer_tls: ca is required for mutual authentication")
	}
	return f.Validate()
}

// checkInterval is the minimum time between two checks of the files for changes;
// new connections use a new certificate after at most this time.
const checkInterval = 10 * time.Second

// Store holds the current certificates of Files.
type Store struct {
	Counters Counters
	files    Files
	current  atomic.Pointer[credentials]

	mu        sync.Mutex // serializes checks
	lastCheck time.Time
	stamps    [3]fileStamp
}

// Counters counts certificate reloads and rejected certificates.
type Counters struct {
	Reloads  expvar.Int // certificate reloads
	Failures expvar.Int // failed reloads; the previous certificates stay in use
	Refused  expvar.Int // peers whose certificate was rejected
}

// Map returns the counters under their published names.
func (c *Counters) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("reloads", &c.Reloads)
	m.Set("failures", &c.Failures)
	m.Set("refused", &c.Refused)
	return m
}

// credentials is the parsed content of the files.
type credentials struct {
	cert   tls.Certificate
	caPool *x509.CertPool // nil without CA
}

// fileStamp is used to detect changes of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Open reads the files. It fails if they are invalid.
func Open(files Files) (*Store, error) {
	if err := files.Validate(); err != nil {
		return nil, err
	}
	s := &Store{files: files, lastCheck: time.Now()}
	s.stamps = s.statFiles()
	m, err := readCredentials(files)
	if err != nil {
		return nil, err
	}
	s.current.Store(m)
	return s, nil
}

func readCredentials(files Files) (*credentials, error) {
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "tls: read %s and %s", files.Cert, files.Key)
	}
	m := &credentials{cert: cert}
	if files.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, eris.Wrap(err, "tls: read ca")
	}
	m.caPool = x509.NewCertPool()
	if !m.caPool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("tls: %s contains no certificate", files.CA)
	}
	return m, nil
}

func (s *Store) statFiles() (stamps [3]fileStamp) {
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// currentCredentials returns the certificates, after checking the files for
// changes if the last check is at least checkInterval ago. While a certificate and
// its key are being replaced they may not match; the previous ones then stay in
// use until the next check.
func (s *Store) currentCredentials() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < checkInterval {
		return s.current.Load()
	}
	s.lastCheck = time.Now()
	stamps := s.statFiles()
	if stamps == s.stamps {
		return s.current.Load()
	}
	m, err := readCredentials(s.files)
	if err != nil {
		s.Counters.Failures.Add(1)
		klog.ErrorS(err, "failed to reload certificate files; keeping the previous certificates")
		return s.current.Load()
	}
	s.stamps = stamps
	s.current.Store(m)
	s.Counters.Reloads.Add(1)
	klog.InfoS("reloaded certificate files", "cert", s.files.Cert)
	return m
}
