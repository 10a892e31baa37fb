package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"buckthornridge/pause"
	"buckthornridge/quarantine"
	"buckthornridge/relay"
	"buckthornridge/store"
)

// Sizes and moments of a test with parts of prompts that crash engines.
const (
	crashFrom      = 5 * time.Second
	crashUntil     = 19 * time.Second
	partRun        = 20 * time.Second
	engineDowntime = 2 * time.Second
	prefillTime    = 60 * time.Millisecond
	partInterval   = 50 * time.Millisecond // between two requests at one VM
	deadlyEvery    = 20                    // one request in so many has a part that crashes engines
	rowsInterval   = 50 * time.Millisecond
)

// The rules: after its fifth crash a part may reach engines lateAllowed times from VMs in
// touch, and sound requests of its route with the same key or first part begin at least half
// as often as before.
const (
	crashesUntilKnown = 5
	lateAllowed       = 3
	lostJudged        = 20
	engineContact     = inTouchAfter
	// falseRefusals is the share of requests that may be refused falsely under faults.
	falseRefusals = 0.01
)

// partEnv is a fleet whose engines crash when they begin an answer on certain parts.
type partEnv struct {
	*versionEnv
	deadly []string
	// position is that of the deadly part among the parts of a prompt.
	position int
	path     string
	// othersOnly says that LOST is not judged, since all engines may be down for other causes.
	othersOnly bool

	partMu   sync.Mutex
	arrivals map[string][]arrival // by deadly part, in their order
	asked    []partAttempt
}

// arrival is a request with a deadly part at an engine.
type arrival struct {
	at      time.Duration
	inTouch bool
	crashed bool
}

// partAttempt is the first attempt of a request as its caller saw it.
type partAttempt struct {
	at             time.Duration
	inTouch, begun bool
	deadly         bool
	quarantined    bool // it is refused for hours
	key, first     string
	parts          []string
}

func newPartEnv(t *testing.T, seed uint64, engines, position int, path string, deadly ...string) *partEnv {
	e := &partEnv{deadly: deadly, position: position, path: path, arrivals: map[string][]arrival{}}
	e.versionEnv = newEmptyEnv(t, seed, envHooks{protocol: e.protocol, started: e.exchange, answer: e.answer})
	e.populate(engines, "v1")
	return e
}

// protocol has the processes read parts and keys and pass on the parts and their own name.
func (e *partEnv) protocol(p *Protocol, vm int) {
	read, write := p.ReadRequest, p.WriteHeader
	p.ReadRequest = func(r *http.Request) (*relay.Request, *relay.Problem) {
		q, problem := read(r)
		q.Key, q.Model = r.Header.Get("Key"), "m"
		for id := range strings.SplitSeq(r.Header.Get("Parts"), ",") {
			q.Parts = append(q.Parts, relay.Part{ID: id, Tokens: 100})
		}
		q.Header.Set("Parts", r.Header.Get("Parts"))
		return q, problem
	}
	p.WriteHeader = func(out relay.OutgoingRequest) http.Header {
		h := write(out)
		h["Parts"], h["From"] = out.Request.Header["Parts"], []string{fmt.Sprint(vm)}
		return h
	}
}

// exchange publishes and follows the records of crashes while the VM is in touch.
func (e *partEnv) exchange(ctx context.Context, p *Process, vm *versionVM) {
	p.tasks.Go(func() { p.publisher().Run(ctx) })
	p.tasks.Go(func() {
		seen := map[string]int64{}
		for ; ctx.Err() == nil; _ = pause.For(ctx, rowsInterval) {
			if (versionTable{env: e.versionEnv, vm: vm}).isOffline() {
				continue
			}
			for _, row := range e.table.Dump(quarantine.Segment + "/") {
				if seen[row.Key] < row.Version {
					seen[row.Key] = row.Version
					p.guard.Table().ApplyChanges([]store.Change{{Row: row}})
				}
			}
		}
	})
}

// answer crashes the engine when it begins an answer on a deadly part.
func (e *partEnv) answer(g *engine, w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path == processQuestion {
		return false
	}
	found := ""
	for part := range strings.SplitSeq(r.Header.Get("Parts"), ",") {
		if slices.Contains(e.deadly, part) {
			found = part
		}
	}
	index := -1
	if found != "" {
		index = e.arrive(found, r.Header.Get("From"))
	}
	time.Sleep(prefillTime)
	if found == "" {
		return false
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	_ = http.NewResponseController(w).Flush() // the engine ends in any case
	e.mu.Lock()
	crashes := e.engines[g.ID] == g
	e.mu.Unlock()
	if crashes && r.Context().Err() == nil {
		e.partMu.Lock()
		e.arrivals[found][index].crashed = true
		e.partMu.Unlock()
		e.crashAndRestart(g.ID)
	}
	return true
}

// inTouch reports whether a VM has run undisturbed, as the table has, for long enough.
func (e *partEnv) inTouch(vm *versionVM) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !vm.offline && !e.away && time.Since(vm.sinceAt) >= inTouchAfter && time.Since(e.backAt) >= inTouchAfter
}

func (e *partEnv) arrive(part, from string) int {
	e.mu.Lock()
	var vm versionVM
	for _, v := range e.vms {
		if fmt.Sprint(v.index) == from {
			vm = *v
		}
	}
	e.mu.Unlock()
	e.partMu.Lock()
	defer e.partMu.Unlock()
	e.arrivals[part] = append(e.arrivals[part], arrival{
		at: time.Since(e.began), inTouch: e.inTouch(&vm),
	})
	return len(e.arrivals[part]) - 1
}

// crashAndRestart ends an engine, which is back under its id a little later.
func (e *partEnv) crashAndRestart(id string) {
	e.crashEngine(id)
	e.tasks.Go(func() {
		time.Sleep(engineDowntime)
		if e.t.Context().Err() == nil {
			e.startEngine(id, "v1")
			e.list(id)
		}
	})
}

// request returns the key and the parts of a sound request, and of one with a deadly part.
func (e *partEnv) request(n int, random *rand.Rand, deadly bool) (key string, parts []string) {
	key = []string{"studio", "desk"}[random.IntN(2)]
	parts = []string{"first", fmt.Sprint("kind", random.IntN(4), key), fmt.Sprint("session", random.IntN(60))}
	if deadly {
		parts[e.position] = e.deadly[random.IntN(len(e.deadly))]
	}
	return key, append(parts, fmt.Sprint("own", n))
}

// ask has a caller send a request, and once more at another VM if it has no events.
func (e *partEnv) ask(n, home int, random *rand.Rand, deadly bool) {
	key, parts := e.request(n, random, deadly)
	last := -1
	for try := range 2 {
		vm := e.enter(home, last)
		if vm == nil {
			return
		}
		home, last = -1, vm.index
		a := partAttempt{at: time.Since(e.began), deadly: deadly, key: key, first: parts[0], parts: parts[:len(parts)-1],
			inTouch: e.inTouch(vm)}
		w := e.versionEnv.request(vm, fmt.Sprintf("%sp%d", e.path, n), fmt.Sprintf("p%d.%d", n, try), streamTimeout,
			map[string]string{"Key": key, "Parts": strings.Join(parts, ",")})
		a.begun = w.Code == http.StatusOK && w.Body.Len() > 0
		retryAfter, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		a.quarantined = retryAfter > time.Hour.Seconds()
		if try == 0 {
			e.partMu.Lock()
			e.asked = append(e.asked, a)
			e.partMu.Unlock()
		}
		if a.begun {
			return
		}
	}
}

// play has callers ask at all VMs and makes changes at their moments.
func (e *partEnv) play(seed uint64, changes map[time.Duration]func()) {
	var callers sync.WaitGroup
	random := rand.New(rand.NewPCG(seed, 58))
	n := 0
	for now := time.Duration(0); now < partRun; now += 10 * time.Millisecond {
		if change := changes[now]; change != nil {
			change()
		}
		if now%partInterval == 0 {
			for home := range versionVMs {
				n++
				id, own := n, rand.New(rand.NewPCG(seed, uint64(n)))
				deadly := now >= crashFrom && now < crashUntil && random.IntN(deadlyEvery) == 0
				callers.Go(func() { e.ask(id, home, own, deadly) })
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	time.Sleep(prefillTime + versionEvents*eventInterval) // for engines that still answer callers that are gone
}

// judge checks both rules.
func (e *partEnv) judge() {
	e.t.Helper()
	for _, part := range e.deadly {
		crashes, late, known := 0, 0, partRun
		for _, a := range e.arrivals[part] {
			if a.at > known+engineContact && a.inTouch {
				late++
			}
			if a.crashed {
				crashes++
				if crashes == crashesUntilKnown {
					known = a.at
				}
			}
		}
		if known == partRun { // fewer crashes: the last one counts for LOST
			for _, a := range e.arrivals[part] {
				if a.crashed {
					known = a.at
				}
			}
		}
		e.t.Logf("%s: %d arrivals, %d crashes, %d arrivals from VMs in touch late after the fifth", part, len(e.arrivals[part]), crashes, late)
		if late > lateAllowed {
			e.t.Errorf("BUDGET: %s reached engines %d times late after its fifth crash", part, late)
		}
		if !e.othersOnly {
			e.judgeLost(part, known+2*engineContact)
		}
	}
	e.judgeRefusals()
}

// judgeRefusals checks that next to no sound request is refused as one that crashes engines.
func (e *partEnv) judgeRefusals() {
	e.t.Helper()
	sound, refused, parts := 0, 0, map[string]int{}
	for _, a := range e.asked {
		if !a.deadly {
			sound++
			if a.quarantined {
				refused++
				for _, part := range a.parts {
					parts[part]++
				}
			}
		}
	}
	e.t.Logf("%d of %d sound requests are refused as deadly: %v", refused, sound, parts)
	if float64(refused) > falseRefusals*float64(sound) {
		e.t.Errorf("%d of %d sound requests are refused as deadly", refused, sound)
	}
}

// judgeLost compares the sound requests that share a key or a first part with the deadly
// ones, after a moment, with those before the first crash.
func (e *partEnv) judgeLost(part string, from time.Duration) {
	e.t.Helper()
	shares := map[string]bool{}
	for _, a := range e.asked {
		if a.deadly {
			shares[a.key], shares[a.first] = true, true
		}
	}
	var asked, begun [2]int // before the first crash, and after
	for _, a := range e.asked {
		if a.deadly || !a.inTouch || !shares[a.key] && !shares[a.first] {
			continue
		}
		when := -1
		switch {
		case a.at < crashFrom:
			when = 0
		case a.at >= from && a.at < crashUntil:
			when = 1
		}
		if when >= 0 {
			asked[when]++
			if a.begun {
				begun[when]++
			}
		}
	}
	e.t.Logf("%s: %d of %d sound requests begin before, %d of %d after", part, begun[0], asked[0], begun[1], asked[1])
	if asked[0] < lostJudged || asked[1] < lostJudged {
		e.t.Errorf("%s: too few requests to judge", part)
	}
	if 2*begun[1]*asked[0] < begun[0]*asked[1] {
		e.t.Errorf("LOST: %d of %d sound requests begin, %d of %d before", begun[1], asked[1], begun[0], asked[0])
	}
}
