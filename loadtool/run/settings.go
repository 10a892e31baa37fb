// Package run runs one scenario against a running fleet and evaluates the results.
package run

import (
	"github.com/rotisserie/eris"
)

// Settings describe how to reach the fleet.
type Settings struct {
	// Platform is the address of the platform stand-in, host:port.
	Platform string `json:"platform"`
	// Token is an admin token with all permissions.
	Token string `json:"token"`
	// Keys are API keys by workspace.
	Keys map[string]string `json:"keys"`
	VMs  []VM              `json:"vms"`
	// Requests is a named pipe that receives the process faults to inject, one line
	// "VERB NAME" each. It is empty if nothing reads such a pipe; process faults are
	// then reported as failed.
	Requests string `json:"requests"`
}

// VM is one VM of the system.
type VM struct {
	ID          string `json:"id"`
	Router      string `json:"router"`       // address for callers
	RouterAdmin string `json:"router_admin"` // address of /readyz and /debug
	API         string `json:"api"`          // address of the administration API
	// ControlPID is the path of the control process's PID file; empty if the
	// process's resource use is not measured.
	ControlPID string `json:"control_pid"`
}

// Validate returns an error if a required setting is missing.
func (s Settings) Validate() error {
	if s.Platform == "" || s.Token == "" || len(s.Keys) == 0 || len(s.VMs) == 0 {
		return eris.New("platform, token, keys and vms must be set")
	}
	for _, vm := range s.VMs {
		if vm.ID == "" || vm.Router == "" || vm.RouterAdmin == "" || vm.API == "" {
			return eris.Errorf("vm %q: id, router, router_admin and api must be set", vm.ID)
		}
	}
	return nil
}
