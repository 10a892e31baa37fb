package platform

import (
	"net/http"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/settings"
	"buckthornridge/store"
	"buckthornridge/store/wire"
)

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, faultSettings(s.fake.Faults()))
}

// changeFaults sets the faults that the JSON body contains and keeps the others.
func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, wire.MaxRequestBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	s.fake.UpdateFaults(func(faults *store.Faults) {
		var updated FaultSettings
		if updated, err = mergeFaults(faultSettings(*faults), body); err == nil {
			*faults = updated.faults()
		}
	})
	if err != nil {
		writeError(w, err)
		return
	}
	klog.InfoS("faults changed", "body", string(body))
	s.showFaults(w, r)
}

func mergeFaults(current FaultSettings, body []byte) (FaultSettings, error) {
	if err := settings.Decode("body", body, &current); err != nil {
		return current, eris.Wrapf(store.ErrInvalid, "faults: %v", err)
	}
	return current, nil
}

// releaseDelayed applies the delayed writes.
func (s *Server) releaseDelayed(w http.ResponseWriter, _ *http.Request) {
	s.fake.ReleaseDelayed()
	writeResponse(w, wire.DoneResponse{Done: true})
}

// StateChange is the body of POST /debug/vms: it sets the state that the platform
// lists for the current incarnation of a VM.
type StateChange struct {
	ID    string        `json:"id"`
	State store.VMState `json:"state"`
}

func (s *Server) setVMState(w http.ResponseWriter, r *http.Request) {
	change, ok := readRequest[StateChange](w, r)
	if !ok {
		return
	}
	err := s.fake.SetVMState(change.ID, change.State)
	if err == nil {
		klog.InfoS("VM state changed", "vm", change.ID, "state", change.State)
	}
	writeResult(w, wire.DoneResponse{Done: true}, err)
}

// showVMs returns the VM list without the lag of VMListLag.
func (s *Server) showVMs(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, s.fake.VMs())
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, s.fake.Counters())
}

// showTable returns rows for audits, without injected faults and rate limits.
func (s *Server) showTable(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, wire.RowsResponse{Rows: s.fake.Dump(r.URL.Query().Get("prefix"))})
}
