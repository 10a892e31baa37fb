package node

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// CrashMarker is text in the body of a request that crashes the node as soon as it runs
// the request.
const CrashMarker = "[[crash]]"

// PathCrashes is the debug page with the crashes of a node.
const PathCrashes = "/debug/crashes"

const (
	// crashDelay is the time between the arrival of a marked request and the crash.
	crashDelay = 20 * time.Millisecond
	// crashDowntime is the time until a crashed node serves again.
	crashDowntime = 2 * time.Second
	// maxMarkedBytes bounds the part of a body in which the marker is looked for.
	maxMarkedBytes = 1 << 20
)

// Crasher is an upstream that can lose its work without an orderly stop.
type Crasher interface {
	// Crash ends all requests in progress. Records for audits stay.
	Crash()
}

// Crash is the arrival of one request that crashed a node.
type Crash struct {
	// Body identifies requests with the same content.
	Body   string `json:"body"`
	UnixMS int64  `json:"unix_ms"`
}

// crashHandler crashes the node when it gets a marked request.
type crashHandler struct {
	next   http.Handler
	signal chan struct{} // has a value when the node has to crash

	mu      sync.Mutex
	crashes []Crash
}

func newCrashHandler(next http.Handler) *crashHandler {
	return &crashHandler{next: next, signal: make(chan struct{}, 1)}
}

// ServeHTTP implements http.Handler.
func (h *crashHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathCrashes {
		h.report(w)
		return
	}
	start, err := io.ReadAll(io.LimitReader(r.Body, maxMarkedBytes))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	if !bytes.Contains(start, []byte(CrashMarker)) {
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(start), r.Body))
		h.next.ServeHTTP(w, r)
		return
	}
	h.record(start)
	time.Sleep(crashDelay)
	select {
	case h.signal <- struct{}{}:
	default: // another request crashes the node already
	}
	<-r.Context().Done()
}

func (h *crashHandler) record(body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, Crash{Body: string(body), UnixMS: time.Now().UnixMilli()})
}

func (h *crashHandler) report(w http.ResponseWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.crashes) // fails only if the client has disconnected
}
