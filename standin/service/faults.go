package service

import (
	"github.com/rotisserie/eris"

	"buckthornridge/settings"
	"buckthornridge/standin/number"
)

// Faults configure the faults that a server injects. The zero value injects none.
type Faults struct {
	Kind FaultKind `json:"kind"`
	// Calls is how many calls the fault affects before it ends; 0 means all.
	Calls number.NonNegative `json:"calls"`
	// Latency is added to Settings.Latency.
	Latency settings.Duration `json:"latency"`
	// Status is the HTTP status of replies; 0 means 200.
	Status number.NonNegative `json:"status"`
}

// FaultKind selects how a call fails.
type FaultKind string

// The kinds of fault.
const (
	NoFault    FaultKind = ""
	KillBefore FaultKind = "kill_before" // close the connection without running the call
	KillAfter  FaultKind = "kill_after"  // run the call, then close the connection without a response
	Truncate   FaultKind = "cut"         // run the call, then close the connection within the response body
	Hang       FaultKind = "hang"        // run the call, but never respond
	Oversized  FaultKind = "oversized"   // run the call, then send a body larger than clients accept
	// Run the call, then write until the client closes: header lines, interim responses or
	// a body.
	EndlessHead    FaultKind = "endless_head"
	EndlessInterim FaultKind = "endless_interim"
	EndlessBody    FaultKind = "endless_body"
)

func (f Faults) validate() error {
	switch f.Kind {
	case NoFault, KillBefore, KillAfter, Truncate, Hang, Oversized, EndlessHead, EndlessInterim, EndlessBody:
		return nil
	}
	return eris.Errorf("unknown kind of fault %q", f.Kind)
}

// countCall counts a call against f.Calls and clears the faults after the last one.
func (f *Faults) countCall() {
	if f.Calls == 0 {
		return
	}
	f.Calls--
	if f.Calls == 0 {
		*f = Faults{}
	}
}

// SetFaults replaces the server's faults.
func (s *Service) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	return nil
}

// changeFaults sets the fields that the JSON body contains and keeps the others.
func (s *Service) changeFaults(body []byte) error {
	s.mu.Lock()
	merged := s.faults
	s.mu.Unlock()
	if err := settings.Decode("body", body, &merged); err != nil {
		return err
	}
	return s.SetFaults(merged)
}
