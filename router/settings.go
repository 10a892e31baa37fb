package router

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/certs"
	"buckthornridge/settings"
	"buckthornridge/telemetry"
)

// Settings is the settings file of a router. It is the only source of the process's
// addresses and data centre.
type Settings struct {
	// VM is the id of the VM that the router runs on.
	VM string `json:"vm"`
	// DataCentre and Region are the location of the VM.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Listen is the address for callers, host:port.
	Listen string `json:"listen"`
	// PeerListen is the address for the fleet's other processes, host:port.
	PeerListen string `json:"peer_listen"`
	// AdminListen serves /healthz, /readyz and /debug/.
	AdminListen string `json:"admin_listen"`
	// Platform is the platform's address, host:port.
	Platform string `json:"platform"`
	// DrainLimit is the maximum duration of a planned stop.
	DrainLimit settings.Duration `json:"drain_limit"`
	// LeaveNotice is how long /readyz fails before a planned stop refuses new
	// requests, so that the load balancer stops sending them first.
	LeaveNotice settings.Duration `json:"leave_notice"`
	// LoadInterval is the interval at which an engine's load report is polled.
	LoadInterval settings.Duration `json:"load_interval"`
	// MemberInterval is the interval at which a few routers of the fleet read the VM
	// list. The interval of each router grows with the number of routers.
	MemberInterval settings.Duration `json:"member_interval"`
	// TLS holds the certificate files of the callers' listener, PeerTLS those of the
	// mutual TLS between the fleet's processes.
	TLS     certs.Files `json:"tls"`
	PeerTLS certs.Files `json:"peer_tls"`
	// Peers are peer addresses of other processes from which to get the
	// configuration until the VM list has been read once.
	Peers []string `json:"peers"`
	// Baseline replaces grants by a table write for each reservation and each bill,
	// to measure the benefit of grants. It must not be set where callers are served.
	Baseline bool `json:"baseline"`
	// Trace configures the export of spans.
	Trace telemetry.Trace `json:"trace"`
}

// Defaults of Settings.
const (
	defaultDrainLimit     = 90 * time.Second
	defaultLeaveNotice    = 2 * time.Second
	defaultLoadInterval   = 500 * time.Millisecond
	defaultMemberInterval = time.Second
)

// DefaultSettings returns the values of settings that a file omits.
func DefaultSettings() Settings {
	return Settings{
		DrainLimit:     settings.Duration(defaultDrainLimit),
		LeaveNotice:    settings.Duration(defaultLeaveNotice),
		LoadInterval:   settings.Duration(defaultLoadInterval),
		MemberInterval: settings.Duration(defaultMemberInterval),
	}
}

// Validate returns an error for the first setting that is missing or out of range.
func (s Settings) Validate() error {
	for _, required := range []struct{ name, value string }{
		{"vm", s.VM},
		{"data_centre", s.DataCentre},
		{"region", s.Region},
		{"listen", s.Listen},
		{"peer_listen", s.PeerListen},
		{"admin_listen", s.AdminListen},
		{"platform", s.Platform},
	} {
		if required.value == "" {
			return missingSetting(required.name)
		}
	}
	for _, positive := range []struct {
		name  string
		value settings.Duration
	}{
		{"drain_limit", s.DrainLimit},
		{"load_interval", s.LoadInterval},
		{"member_interval", s.MemberInterval},
	} {
		if positive.value <= 0 {
			return notPositiveSetting(positive.name)
		}
	}
	if s.Trace.Ratio < 0 || s.Trace.Ratio > 1 {
		return eris.Errorf("settings: trace.ratio must be from 0 to 1")
	}
	return cmp.Or(s.TLS.Validate(), s.PeerTLS.ValidateMutual())
}
