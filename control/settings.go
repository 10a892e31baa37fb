package control

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/certs"
	"buckthornridge/config"
	"buckthornridge/settings"
)

// Settings is the settings file of a control process. It is the only source of the
// process's addresses and data centre.
type Settings struct {
	// VM is the id of the VM that the process runs on.
	VM string `json:"vm"`
	// DataCentre and Region are the location of the VM.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Platform is the platform's address, host:port.
	Platform string `json:"platform"`
	// AdminListen serves the administration API, /healthz, /readyz and
	// /debug/vars.
	AdminListen string `json:"admin_listen"`
	// PeerListen is the address for the fleet's other processes, host:port.
	PeerListen string `json:"peer_listen"`
	// Peers are peer addresses that are used until the VM list has been read once,
	// as on a new VM during a platform outage.
	Peers []string `json:"peers"`
	// Bootstrap is the hex SHA-256 digest of the token that may apply the first
	// configuration. If it is empty, there is no such token.
	Bootstrap string `json:"bootstrap"`
	// TLS holds the certificate files of the administration API, PeerTLS those of
	// the mutual TLS between the fleet's processes.
	TLS     certs.Files `json:"tls"`
	PeerTLS certs.Files `json:"peer_tls"`
	// DrainLimit is the maximum duration of a planned stop.
	DrainLimit settings.Duration `json:"drain_limit"`
	// LeaseTTL is the time without a renewal after which another process takes over
	// a duty. It must be the same on all VMs.
	LeaseTTL settings.Duration `json:"lease_ttl"`
}

// Defaults and lower bounds of Settings.
const (
	defaultDrainLimit = 15 * time.Second
	defaultLeaseTTL   = 15 * time.Second
	minLeaseTTL       = time.Second
)

// DefaultSettings returns the values of settings that a file omits.
func DefaultSettings() Settings {
	return Settings{
		DrainLimit: settings.Duration(defaultDrainLimit),
		LeaseTTL:   settings.Duration(defaultLeaseTTL),
	}
}

// Validate returns an error for the first setting that is missing or invalid.
func (s Settings) Validate() error {
	for _, required := range []struct{ name, value string }{
		{"vm", s.VM},
		{"data_centre", s.DataCentre},
		{"region", s.Region},
		{"platform", s.Platform},
		{"admin_listen", s.AdminListen},
		{"peer_listen", s.PeerListen},
	} {
		if required.value == "" {
			return eris.Errorf("%s is missing", required.name)
		}
	}
	if s.Bootstrap != "" {
		if _, err := config.ParseDigest(s.Bootstrap); err != nil {
			return eris.Wrap(err, "bootstrap")
		}
	}
	if s.LeaseTTL.D() < minLeaseTTL {
		return eris.Errorf("lease_ttl must be at least %s", minLeaseTTL)
	}
	if s.DrainLimit <= 0 {
		return eris.New("drain_limit must be greater than 0")
	}
	return cmp.Or(s.TLS.Validate(), s.PeerTLS.ValidateMutual())
}
