package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"buckthornridge/relay"
)

// Moments of a test in which engines say something of themselves in their answers.
const (
	sayingFrom     = 3 * time.Second
	sayingRun      = 10 * time.Second
	sayingTimeout  = 1500 * time.Millisecond
	sayingInterval = 25 * time.Millisecond // between two requests at one VM
	sayingServed   = 0.95                  // share of the requests beside engines that serve
)

// sayingEnv is a fleet before engines that say something of themselves.
type sayingEnv struct {
	*versionEnv
	// say sets what an engine's answer to a VM's request says. It returns false if that
	// is the whole answer.
	say func(p sayingPair, w http.ResponseWriter) bool

	sayMu    sync.Mutex
	arrivals []sayingArrival
	results  []sayingResult
}

// sayingArrival is a request at an engine.
type sayingArrival struct {
	sayingPair
	at time.Duration
}

// sayingPair is a process of an engine and one of a VM.
type sayingPair struct {
	engine string
	start  int64 // engine.Start
	vm     *Process
}

// sayingResult is what a caller got.
type sayingResult struct {
	vm         int
	at, took   time.Duration
	status     int
	whole      bool
	retryAfter time.Duration
}

const headerFrom = "From-Vm"

func newSayingEnv(t *testing.T, engines int, readHead func(head *relay.Head, h http.Header), say func(e *sayingEnv, p sayingPair, w http.ResponseWriter) bool) *sayingEnv {
	return newSmallSayingEnv(t, engines, engineSlots, readHead, say)
}

// newSmallSayingEnv is newSayingEnv with engines of a number of slots.
func newSmallSayingEnv(t *testing.T, engines, slots int, readHead func(head *relay.Head, h http.Header), say func(e *sayingEnv, p sayingPair, w http.ResponseWriter) bool) *sayingEnv {
	e := &sayingEnv{}
	e.say = func(p sayingPair, w http.ResponseWriter) bool { return say(e, p, w) }
	e.versionEnv = newEmptyEnv(t, 1, envHooks{answer: e.answer, slots: slots, protocol: func(p *Protocol, vm int) {
		read, write := p.ReadHead, p.WriteHeader
		p.ReadHead = func(status int, h http.Header) relay.Head {
			head := read(status, h)
			readHead(&head, h)
			return head
		}
		p.WriteHeader = func(out relay.OutgoingRequest) http.Header {
			h := write(out)
			h[headerFrom] = []string{strconv.Itoa(vm)}
			return h
		}
	}})
	e.populate(engines, "v1")
	return e
}

func (e *sayingEnv) now() time.Duration { return time.Since(e.began) }

func (e *sayingEnv) answer(g *engine, w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path == processQuestion {
		return false
	}
	vm, err := strconv.Atoi(r.Header.Get(headerFrom))
	if err != nil {
		panic(err)
	}
	e.mu.Lock()
	pair := sayingPair{g.ID, g.Start, e.vms[vm].process}
	e.mu.Unlock()
	e.sayMu.Lock()
	e.arrivals = append(e.arrivals, sayingArrival{pair, e.now()})
	e.sayMu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	return !e.say(pair, w)
}

// play has callers ask at all VMs and makes changes at their moments.
func (e *sayingEnv) play(changes map[time.Duration]func()) {
	var callers sync.WaitGroup
	n := 0
	for now := time.Duration(0); now < sayingRun; now += 5 * time.Millisecond {
		if change := changes[now]; change != nil {
			change()
		}
		if now%sayingInterval == 0 {
			for vm := range versionVMs {
				n++
				path, id := []string{"/once/", "/"}[n%2], fmt.Sprint("y", n)
				callers.Go(func() { e.ask(vm, path, id) })
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
}

func (e *sayingEnv) ask(home int, path, id string) {
	vm := e.enter(home, -1)
	if vm == nil {
		return
	}
	at := e.now()
	w := e.request(vm, path+id, id, sayingTimeout, nil)
	seconds, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	e.sayMu.Lock()
	defer e.sayMu.Unlock()
	e.results = append(e.results, sayingResult{
		vm: vm.index, at: at, took: e.now() - at, status: w.Code, retryAfter: time.Duration(seconds * float64(time.Second)),
		whole: w.Code == http.StatusOK && strings.Count(w.Body.String(), "id:") == versionEvents,
	})
}

// judgeServed checks that callers who come within a time get whole answers.
func (e *sayingEnv) judgeServed(from, until time.Duration) {
	e.t.Helper()
	asked, served := 0, 0
	for _, r := range e.results {
		if r.at >= from && r.at < until {
			asked++
			if r.whole {
				served++
			}
		}
	}
	e.t.Logf("%d of %d requests are served", served, asked)
	if asked == 0 || float64(served) < sayingServed*float64(asked) {
		e.t.Errorf("%d of %d requests are served", served, asked)
	}
}

// judgeRefused checks that callers who come within a time are refused at once, with the time
// to come back.
func (e *sayingEnv) judgeRefused(from, until time.Duration) {
	e.t.Helper()
	asked := 0
	for _, r := range e.results {
		if r.at < from || r.at >= until {
			continue
		}
		asked++
		if r.status != http.StatusServiceUnavailable || r.retryAfter <= 0 || r.took > 20*time.Millisecond {
			e.t.Errorf("at %s: status %d after %s, Retry-After %s", r.at, r.status, r.took, r.retryAfter)
			return
		}
	}
	if asked == 0 {
		e.t.Error("nobody asked")
	}
}
