package control

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"buckthornridge/admin"
	"buckthornridge/store"
)

// share divides the shared duties among the control processes that the VM list
// shows as live. Views differ for a while after each change; a key may then be
// two processes' or, until the next look, nobody's, which the duties allow.
type share struct {
	self     string
	controls map[string]bool // live control processes by id
}

func newShare(self string, vms []store.VM) *share {
	s := &share{self: self, controls: map[string]bool{}}
	for _, vm := range vms {
		if vm.Role == roleControl && vm.State == store.VMLive {
			s.controls[vm.ID] = true
		}
	}
	return s
}

// mine reports whether work on a holder's journal is this process's: that of its
// own VM, and part of what belongs to VMs without a live control process.
func (s *share) mine(holder string) bool {
	vm, _, _ := strings.Cut(holder, "#")
	if neighbour := admin.ControlID(vm); s.controls[neighbour] {
		return neighbour == s.self
	}
	best, bestScore := s.self, uint64(0)
	for id := range s.controls {
		if score := xxhash.Sum64String(holder + "|" + id); score > bestScore {
			best, bestScore = id, score
		}
	}
	return best == s.self
}
