package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"buckthornridge/bubble"
	"buckthornridge/testnet"
)

// overlapAllowed is how long a run may go on after the next one of its request has begun.
const overlapAllowed = 400 * time.Millisecond

// Streams of /long/.
const (
	longEvents   = 40
	longInterval = 200 * time.Millisecond
	longTimeout  = 20 * time.Second
)

// runLog records when the runs of each request began and ended.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]*span
}

type span struct{ began, ended time.Time }

// begin records a run and returns the function that ends it.
func (l *runLog) begin(id string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]*span{}
	}
	run := &span{began: time.Now()}
	l.runs[id] = append(l.runs[id], run)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		run.ended = time.Now()
	}
}

// current returns the requests that are running.
func (l *runLog) current() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, runs := range l.runs {
		if runs[len(runs)-1].ended.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkOverlaps checks that no run goes on beside the next one. It returns how many requests
// had several runs.
func (l *runLog) checkOverlaps(t *testing.T) (repeated int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, runs := range l.runs {
		if len(runs) > 1 {
			repeated++
		}
		for i, run := range runs[1:] {
			before := runs[i]
			if before.ended.IsZero() || before.ended.Sub(run.began) > overlapAllowed {
				t.Errorf("%s: run %d began %s before run %d ended (at all: %t)", id, i+2, before.ended.Sub(run.began), i+1, !before.ended.IsZero())
			}
		}
	}
	return repeated
}

// serveLong streams slowly and ends with its connection.
func (e *cutEnv) serveLong(w http.ResponseWriter, r *http.Request, id string) {
	defer e.spans.begin(id)()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= longEvents; n++ {
		select {
		case <-time.After(longInterval):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// Guards against two runs of a stream at once where the VM that sends it for another one is
// cut off from it: the other VM sends it elsewhere and the first run goes on.
func TestForwarderThatIsCutOffEndsTheRun(t *testing.T) {
	for name, mode := range map[string]testnet.Mode{"silent": testnet.Silent, "reset": testnet.Reset} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				e := newCutEnv(t, 5)
				e.net.Cut(testnet.Reset, vmName(0), e.upstreams()...)
				var streams sync.WaitGroup
				for i := range 12 {
					streams.Go(func() { e.ask(e.t.Context(), 0, "/long/", fmt.Sprint("s", i), 0) })
				}
				time.Sleep(time.Second)
				for _, vm := range []int{1, 2} {
					e.net.Cut(mode, vmName(0), peerAddress(vm))
					e.net.Cut(mode, vmName(vm), peerAddress(0))
				}
				streams.Wait()
				if repeated := e.spans.checkOverlaps(t); repeated == 0 {
					t.Error("no stream was sent a second time")
				}
			})
		})
	}
}

// Guards against two runs of a stream at once where open connections to the engines fall
// silent: the close that ends the first run does not arrive.
func TestStreamOverASilentConnectionRunsOnceAtATime(t *testing.T) {
	for name, forwarded := range map[string]bool{"its own connection": false, "through another VM": true} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				e := newCutEnv(t, 3)
				if forwarded {
					e.net.Cut(testnet.Reset, vmName(0), e.upstreams()...)
				}
				var streams sync.WaitGroup
				for i := range 12 {
					streams.Go(func() { e.ask(e.t.Context(), 0, "/long/", fmt.Sprint("s", i), 0) })
				}
				time.Sleep(time.Second)
				for vm := range e.vms {
					e.net.SilenceOpen(vmName(vm), e.upstreams()...)
				}
				streams.Wait()
				if repeated := e.spans.checkOverlaps(t); repeated == 0 {
					t.Error("no stream was sent a second time")
				}
			})
		})
	}
}
