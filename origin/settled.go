package origin

import (
	"time"
)

// settleTime is how long the log must have named a version before streams begin at it. It is
// longer than what a Reader returns may be old, so that a router which takes a stream up finds
// its version in the log.
const settleTime = readTTL + readTimeout + 50*time.Millisecond

// SetServing takes the versions of the upstreams that take new work, by service.
func (h *History) SetServing(serving map[string]map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serving = serving
}

// Logged takes since when the log has named the versions of a service that it lists. A zero
// time stands for long ago.
func (h *History) Logged(service string, since map[string]time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logged[service] = since
	h.forgetLogged()
}

// forgetLogged forgets when versions were logged that are not listed any more: the row may
// lose them. The caller holds h.mu.
func (h *History) forgetLogged() {
	for service, versions := range h.logged {
		for version := range versions {
			if !h.present[service][version] {
				delete(versions, version)
			}
		}
	}
}

// allLogged reports whether the log is known to name all versions that are listed.
func (h *History) allLogged() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, versions := range h.present {
		for version := range versions {
			if _, logged := h.logged[service][version]; !logged {
				return false
			}
		}
	}
	return true
}

// Unsettled returns the versions of a service at which no stream that may be resumed should
// begin yet: what outlives all routers does not name them. Where there is no other version,
// streams begin at any.
func (h *History) Unsettled(service string, now time.Time) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.serving[service]) < 2 {
		return nil
	}
	var unsettled map[string]bool
	for version := range h.serving[service] {
		since, logged := h.logged[service][version]
		if logged && now.Sub(since) >= settleTime {
			continue
		}
		if unsettled == nil {
			unsettled = map[string]bool{}
		}
		unsettled[version] = true
	}
	if len(unsettled) == len(h.serving[service]) {
		return nil
	}
	return unsettled
}
