package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"buckthornridge/upstream/wire"
)

// PathLimit sets the rate that a node names, by POST of a LimitRequest, and shows its
// arrivals, a LimitReport.
const PathLimit = "/debug/limit"

const pathDebug = "/debug/"

// LimitRequest sets the rate that the node names in its answers.
type LimitRequest struct {
	// PerSecond is the rate; below 0 the node names none.
	PerSecond float64 `json:"per_second"`
}

// LimitReport lists the requests that arrived while the node named a rate.
type LimitReport struct {
	// Periods are the periods in which a rate was named, in order of time.
	Periods []LimitPeriod `json:"periods"`
}

// LimitPeriod is a period in which a node named one rate.
type LimitPeriod struct {
	PerSecond float64 `json:"per_second"`
	// Arrivals are Unix milliseconds. The first one gets the first answer that names the
	// rate.
	Arrivals []int64 `json:"arrivals"`
}

// limitHandler names a rate in the answers of a node. It serves all requests, so that a
// router that ignores the rate is noticed by the arrivals alone.
type limitHandler struct {
	next http.Handler

	mu     sync.Mutex
	named  bool
	report LimitReport
}

// ServeHTTP implements http.Handler.
func (h *limitHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == PathLimit && r.Method == http.MethodPost:
		h.set(w, r)
		return
	case r.URL.Path == PathLimit:
		h.show(w)
		return
	case isWork(r.URL.Path):
		if rate, named := h.arrive(); named {
			w.Header().Set(wire.HeaderRateLimit, strconv.FormatFloat(rate, 'f', -1, 64))
		}
	}
	h.next.ServeHTTP(w, r)
}

// isWork reports whether requests to a path count for the rate.
func isWork(path string) bool {
	switch {
	case path == wire.PathCancel, path == wire.PathLoad, path == wire.PathCacheEvents, path == wire.PathOrders:
		return false
	}
	return !strings.HasPrefix(path, pathDebug) && !strings.HasPrefix(path, wire.PathKV)
}

// arrive records an arrival and returns the named rate.
func (h *limitHandler) arrive() (rate float64, named bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.named {
		return 0, false
	}
	period := &h.report.Periods[len(h.report.Periods)-1]
	period.Arrivals = append(period.Arrivals, time.Now().UnixMilli())
	return period.PerSecond, true
}

func (h *limitHandler) set(w http.ResponseWriter, r *http.Request) {
	var request LimitRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.named = request.PerSecond >= 0
	if h.named {
		h.report.Periods = append(h.report.Periods, LimitPeriod{PerSecond: request.PerSecond})
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *limitHandler) show(w http.ResponseWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.report) // fails only if the client has disconnected
}
