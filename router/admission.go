package router

import (
	"sync/atomic"

	"buckthornridge/admission"
	"buckthornridge/config"
	"buckthornridge/routing"
)

// admissionHolder holds the admission controller in force. A change of the policy
// replaces the controller. Requests that wait at the old one are still admitted by
// it, so that for a moment more requests may be admitted than either controller
// would admit alone.
type admissionHolder struct {
	capacity admission.Capacity
	current  atomic.Pointer[activeAdmission]
}

// activeAdmission is a controller and the policy that it implements.
type activeAdmission struct {
	controller *admission.Controller
	policy     string
}

func newAdmissionHolder(capacity admission.Capacity) (*admissionHolder, error) {
	h := &admissionHolder{capacity: capacity}
	return h, h.setPolicy("")
}

// setPolicy replaces the controller by one of the given policy.
func (h *admissionHolder) setPolicy(policy string) error {
	controller, err := admission.NewController(h.capacity, policy)
	if err != nil {
		return err
	}
	h.current.Store(&activeAdmission{controller: controller, policy: policy})
	return nil
}

func (h *admissionHolder) load() *admission.Controller { return h.current.Load().controller }

// notifyCapacity tells the controller in force that a target may have free
// capacity. Requests that wait at an earlier controller find out by polling.
func (h *admissionHolder) notifyCapacity(target routing.Target) { h.load().Wake(target) }

// update applies a configuration. It must not be called concurrently.
func (h *admissionHolder) update(s *config.Snapshot) error {
	if s.Policy.Admission != h.current.Load().policy {
		if err := h.setPolicy(s.Policy.Admission); err != nil {
			return err
		}
	}
	h.load().Update(s)
	return nil
}
