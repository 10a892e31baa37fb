package control

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/certs"
	"buckthornridge/config"
	"buckthornridge/settings"
)

// Settings is a control process's settings file. A process learns its addresses
// and its data centre from it and nothing else.
type Settings struct {
	// VM is the id of the VM that the process runs on.
	VM string `json:"vm"`
	// DataCentre and Region place the VM.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Platform is the platform's address, host:port.
	Platform string `json:"platform"`
	// AdminListen serves the administration API, /healthz, /readyz and
	// /debug/vars.
	AdminListen string `json:"admin_listen"`
	// PeerListen is the address for the system's other processes.
	PeerListen string `json:"peer_listen"`
	// Peers are addresses of other processes to ask while the platform's VM list
	// was never reached, as on a fresh VM during an outage.
	Peers []string `json:"peers"`
	// Bootstrap is the SHA-256 digest in hex of the token that may apply the
	// first configuration; empty for none.
	Bootstrap string `json:"bootstrap"`
	// TLS secures the administration API, PeerTLS the connections between the
	// system's own processes, both ways.
	TLS     certs.Files `json:"tls"`
	PeerTLS certs.Files `json:"peer_tls"`
	// DrainLimit bounds a planned stop.
	DrainLimit settings.Duration `json:"drain_limit"`
	// LeaseTTL is after how long without a renewal another process takes over a
	// duty. It must be the same on all VMs.
	LeaseTTL settings.Duration `json:"lease_ttl"`
}

// Defaults of Settings.
const (
	defaultDrainLimit = 15 * time.Second
	defaultLeaseTTL   = 15 * time.Second
	minLeaseTTL       = time.Second
)

// DefaultSettings returns the settings of what a file leaves out.
func DefaultSettings() Settings {
	return Settings{
		DrainLimit: settings.Duration(defaultDrainLimit),
		LeaseTTL:   settings.Duration(defaultLeaseTTL),
	}
}

// Validate reports the first setting that is missing or wrong.
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
		return eris.Errorf("lease_ttl: at least %s", minLeaseTTL)
	}
	if s.DrainLimit <= 0 {
		return eris.New("drain_limit must be more than 0")
	}
	return cmp.Or(s.TLS.Validate(), s.PeerTLS.ValidateMutual())
}
