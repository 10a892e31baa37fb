package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"buckthornridge/upstream/wire"
)

// PathSays sets what a node says of itself in its answers to requests for work, by POST of a
// SaysRequest, and shows what came of it, a SaysReport.
const PathSays = "/debug/says"

// SaysRequest is what a node says of itself from now on.
type SaysRequest struct {
	// Leaving says that the node leaves. It goes on serving.
	Leaving bool `json:"leaving"`
	// RestMS is the time of rest that the node asks for. It rejects all requests for
	// streams then; 0 if it asks for none.
	RestMS int64 `json:"rest_ms"`
	// Rejections is the rejection limit that the node names, and Slots how many requests it
	// takes at once meanwhile; it names none if Slots is 0.
	Rejections float64 `json:"rejections"`
	Slots      int     `json:"slots"`
}

// SaysReport lists what reached the node, in Unix milliseconds.
type SaysReport struct {
	// LeavingAt is when the first answer said that the node leaves; 0 if none did.
	LeavingAt int64 `json:"leaving_at"`
	// AfterLeaving are the arrivals since then.
	AfterLeaving []int64 `json:"after_leaving"`
	// Rested are the requests that were rejected with a time of rest.
	Rested []int64 `json:"rested"`
	RestMS int64   `json:"rest_ms"`
	// LimitAt is when the first answer named the rejection limit; 0 if none did.
	LimitAt    int64   `json:"limit_at"`
	Rejections float64 `json:"rejections"`
	// Rejected are the requests that were rejected for want of a slot.
	Rejected []int64 `json:"rejected"`
}

// saysHandler says what it was told to of its node.
type saysHandler struct {
	next http.Handler

	mu     sync.Mutex
	says   SaysRequest
	active int
	report SaysReport
}

// ServeHTTP implements http.Handler.
func (h *saysHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == PathSays && r.Method == http.MethodPost:
		h.set(w, r)
	case r.URL.Path == PathSays:
		h.show(w)
	case !isWork(r.URL.Path):
		h.next.ServeHTTP(w, r)
	case h.begin(w, r.URL.Path == wire.PathGenerate):
		defer h.end()
		h.next.ServeHTTP(w, r)
	}
}

// begin says what an answer says, and takes the request or rejects it.
func (h *saysHandler) begin(w http.ResponseWriter, mayReject bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now().UnixMilli()
	if h.says.Leaving {
		w.Header().Set(wire.HeaderLeaving, wire.LeavingValue)
		if h.report.LeavingAt == 0 {
			h.report.LeavingAt = now
		}
		h.report.AfterLeaving = append(h.report.AfterLeaving, now)
	}
	if h.says.Slots > 0 {
		w.Header().Set(wire.HeaderRejectionLimit, strconv.FormatFloat(h.says.Rejections, 'f', -1, 64))
		if h.report.LimitAt == 0 {
			h.report.LimitAt = now
		}
	}
	switch {
	case mayReject && h.says.RestMS > 0:
		h.report.Rested = append(h.report.Rested, now)
		rejectFull(w, h.says.RestMS)
		return false
	case mayReject && h.says.Slots > 0 && h.active >= h.says.Slots:
		h.report.Rejected = append(h.report.Rejected, now)
		rejectFull(w, 0)
		return false
	}
	h.active++
	return true
}

func (h *saysHandler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active--
}

func rejectFull(w http.ResponseWriter, restMS int64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(wire.Problem{Error: wire.ErrorFull, RetryAfterMillis: restMS}) // fails only if the client has disconnected
}

func (h *saysHandler) set(w http.ResponseWriter, r *http.Request) {
	var says SaysRequest
	if err := json.NewDecoder(r.Body).Decode(&says); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.says = says
	if says.RestMS > 0 {
		h.report.RestMS = says.RestMS
	}
	if says.Slots > 0 {
		h.report.Rejections = says.Rejections
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *saysHandler) show(w http.ResponseWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.report) // fails only if the client has disconnected
}
