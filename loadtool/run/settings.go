// Package run runs one scenario against a fleet that is up, and judges it.
package run

import (
	"github.com/rotisserie/eris"
)

// Settings say where the fleet is.
type Settings struct {
	// Platform is the platform stand-in's address, host:port.
	Platform string `json:"platform"`
	// Token is an admin token that may do everything.
	Token string `json:"token"`
	// Keys are API keys by workspace.
	Keys map[string]string `json:"keys"`
	VMs  []VM              `json:"vms"`
	// Requests is a named pipe that takes what is due for processes, one line
	// "VERB NAME" each; empty if nobody reads it. Scenarios with such faults
	// then report them as not brought about.
	Requests string `json:"requests"`
}

// VM is one VM of the system.
type VM struct {
	ID          string `json:"id"`
	Router      string `json:"router"`       // callers' address
	RouterAdmin string `json:"router_admin"` // of /readyz and /debug
	API         string `json:"api"`          // administration API
	// ControlPID names a file with the control process's id; empty if its use of
	// the machine is not to be measured.
	ControlPID string `json:"control_pid"`
}

// Validate reports the first setting that is missing.
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
