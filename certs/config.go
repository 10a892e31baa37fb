package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/rotisserie/eris"
)

// Server returns the TLS configuration of a listener. If the settings contain a
// CA, the peer must present a certificate issued by it.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// A configuration per connection, because ClientCAs can't be changed later.
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.currentCredentials()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert},
				// A resumed session would skip the verification of a certificate
				// that has expired or whose CA has been removed since.
				SessionTicketsDisabled: true}
			if m.caPool != nil {
				c.ClientAuth = tls.RequireAnyClientCert
				c.VerifyConnection = s.verify(x509.ExtKeyUsageClientAuth)
			}
			return c, nil
		},
	}
}

// Client returns the TLS configuration of outgoing connections to the system's own
// processes. Their IP addresses change, so the CA and the name in the settings
// are verified instead of the address.
func (s *Store) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.currentCredentials().cert, nil
		},
		// The standard verification can't use a CA that changes; verify performs
		// the same verification with the current CA.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify returns a function that verifies the peer's certificate: its chain,
// validity period, extended key usage and name.
func (s *Store) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		err := s.verifyChain(state.PeerCertificates, usage)
		if err != nil {
			s.Counters.Refused.Add(1)
		}
		return err
	}
}

func (s *Store) verifyChain(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	m := s.currentCredentials()
	if m.caPool == nil {
		return eris.New("tls: no ca in the settings to verify the peer's certificate")
	}
	if len(chain) == 0 {
		return eris.New("tls: the peer presented no certificate")
	}
	options := x509.VerifyOptions{Roots: m.caPool, Intermediates: x509.NewCertPool(),
		DNSName: s.files.Name, KeyUsages: []x509.ExtKeyUsage{usage}}
	for _, cert := range chain[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(options)
	return eris.Wrap(err, "tls: verify the peer's certificate")
}
