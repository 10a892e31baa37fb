package edge

import (
	"net/http"
	"testing"
	"time"

	"buckthornridge/bubble"
	"buckthornridge/relay"
	"buckthornridge/testnet"
)

// leaveWithin is how long after its first answer that said so an engine may get requests.
const leaveWithin = 2 * time.Second

const headerLeaving = "Leaves"

// leavingCase is a fleet before engines that say that they leave.
type leavingCase struct {
	name    string
	engines int
	leaving func(id string) bool
	value   string // of the header
	status  int    // of the leaving engine's answers; 0 if it serves
	changes func(e *sayingEnv) map[time.Duration]func()
}

func first(id string) bool { return id == "engine-0" }
func all(string) bool      { return true }

// awayTable makes the table silent before the engine says anything.
func awayTable(e *sayingEnv) map[time.Duration]func() {
	return map[time.Duration]func(){2 * time.Second: func() { e.setTable(false) }}
}

// renewedEntry has the table say again and again that the engine is ready.
func renewedEntry(e *sayingEnv) map[time.Duration]func() {
	changes := map[time.Duration]func(){}
	for at := sayingFrom; at < sayingRun; at += 200 * time.Millisecond {
		changes[at] = func() { e.list("engine-0") }
	}
	return changes
}

var leavingCases = []leavingCase{
	{"the table is away", 4, first, "1", 0, awayTable},
	{"its entry says ready", 4, first, "1", 0, renewedEntry},
	{"it rejects", 4, first, "1", http.StatusServiceUnavailable, awayTable},
	{"it fails", 4, first, "1", http.StatusInternalServerError, awayTable},
	{"a VM is cut off from the engines", 4, first, "1", 0, func(e *sayingEnv) map[time.Duration]func() {
		changes := awayTable(e)
		changes[time.Second] = func() {
			for id := range e.engines {
				e.net.Cut(testnet.Reset, vmName(0), id+":1")
			}
		}
		return changes
	}},
	{"VMs are out of touch and start again", 4, first, "1", 0, func(e *sayingEnv) map[time.Duration]func() {
		return map[time.Duration]func(){
			2 * time.Second: func() { e.partition(3, true) },
			5 * time.Second: func() { e.killVM(1) }, 5100 * time.Millisecond: func() { e.startVM(1) },
		}
	}},
	{"all engines", 3, all, "1", 0, awayTable},
}

// lateArrivals counts the requests that an engine's process got from a VM later than
// leaveWithin after an answer had told that VM that it leaves.
func lateArrivals(e *sayingEnv, told map[sayingPair]time.Duration) int {
	late := 0
	for _, a := range e.arrivals {
		if at, known := told[a.sayingPair]; known && a.at > at+leaveWithin {
			late++
		}
	}
	return late
}

// Guards against an engine that gets no requests for what its earlier process said, or for a value that says nothing.
func TestEngineThatDoesNotLeaveIsUsed(t *testing.T) {
	for _, c := range []struct {
		name, value string
		restart     bool
	}{{"a new process under its id", "1", true}, {"other values", "0", false}} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				e := newSayingEnv(t, 2, readLeaving, func(e *sayingEnv, p sayingPair, w http.ResponseWriter) bool {
					if p.engine == "engine-0" && p.start == e.began.UnixMilli() {
						w.Header().Set(headerLeaving, c.value)
					}
					return true
				})
				changes := map[time.Duration]func(){}
				if c.restart {
					changes[sayingFrom] = func() { e.startEngine("engine-0", "v1"); e.list("engine-0") }
				}
				e.play(changes)
				used := 0
				for _, a := range e.arrivals {
					if a.engine == "engine-0" && a.at > sayingFrom+leaveWithin {
						used++
					}
				}
				t.Logf("%d of %d requests at engine-0", used, len(e.arrivals))
				if used == 0 {
					t.Error("engine-0 is not used")
				}
				e.judgeServed(sayingFrom+leaveWithin, sayingRun)
			})
		})
	}
}

// Guards against requests that reach an engine long after its answers have said that it leaves (DRAIN).
func TestEngineThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	for _, c := range leavingCases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				told := map[sayingPair]time.Duration{}
				e := newSayingEnv(t, c.engines, readLeaving, func(e *sayingEnv, p sayingPair, w http.ResponseWriter) bool {
					if !c.leaving(p.engine) || e.now() < sayingFrom {
						return true
					}
					w.Header().Set(headerLeaving, c.value)
					e.sayMu.Lock()
					if _, known := told[p]; !known {
						told[p] = e.now()
					}
					e.sayMu.Unlock()
					if c.status == 0 {
						return true
					}
					if c.status == http.StatusServiceUnavailable {
						w.Header().Set("Not-Run", "full")
					} else {
						w.Header().Set("Signed", "yes")
					}
					w.WriteHeader(c.status)
					return false
				})
				e.play(c.changes(e))
				t.Logf("%d VMs were told, %d late requests", len(told), lateArrivals(e, told))
				if late := lateArrivals(e, told); late > 0 || len(told) == 0 {
					t.Errorf("DRAIN: %d requests reach engines that had said that they leave, %d VMs were told", late, len(told))
				}
				if c.leaving("engine-1") {
					e.judgeRefused(sayingFrom+leaveWithin, sayingRun)
				} else {
					e.judgeServed(sayingFrom+leaveWithin, sayingRun)
				}
			})
		})
	}
}

func readLeaving(head *relay.Head, h http.Header) { head.Leaving = h.Get(headerLeaving) == "1" }
