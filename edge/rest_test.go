package edge

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"buckthornridge/bubble"
	"buckthornridge/ratelimit"
	"buckthornridge/relay"
	"buckthornridge/testnet"
)

// The rule: from restKnown after an engine has rejected a VM's request and asked for rest until
// the end of that, it gets at most restAllowed requests from that VM.
const (
	restKnown   = 500 * time.Millisecond
	restAllowed = 2
	restUntil   = sayingFrom + 3500*time.Millisecond // when engines no longer reject
)

const headerRest = "Rest"

// restCase is a fleet before engines that reject all requests for a while and ask for rest.
type restCase struct {
	name    string
	resting func(id string) bool
	seconds float64
	changes func(e *sayingEnv) map[time.Duration]func()
}

var restCases = []restCase{
	{"one engine", first, 2, nil},
	{"fractions of a second", first, 1.25, nil},
	{"the table is away", first, 2, awayTable},
	{"a VM is cut off from the engines", first, 2, func(e *sayingEnv) map[time.Duration]func() {
		return map[time.Duration]func(){time.Second: func() {
			for id := range e.engines {
				e.net.Cut(testnet.Reset, vmName(0), id+":1")
			}
		}}
	}},
	{"its entry lapses and comes back", first, 3, func(e *sayingEnv) map[time.Duration]func() {
		return map[time.Duration]func(){4 * time.Second: func() { e.unlist("engine-0") }, 4200 * time.Millisecond: func() { e.list("engine-0") }}
	}},
	{"VMs are out of touch and start again", first, 2, func(e *sayingEnv) map[time.Duration]func() {
		return map[time.Duration]func(){
			2 * time.Second: func() { e.partition(3, true) },
			5 * time.Second: func() { e.killVM(1) }, 5100 * time.Millisecond: func() { e.startVM(1) },
		}
	}},
	{"all engines", all, 2, nil},
}

// rest is a time of which an engine has told a VM that it wants no requests.
type rest struct{ from, until time.Duration }

// restEnv is a sayingEnv whose engines ask for rest.
type restEnv struct {
	*sayingEnv
	rests map[sayingPair][]rest
}

func newRestEnv(t *testing.T, resting func(sayingPair) bool, value string) *restEnv {
	env := &restEnv{rests: map[sayingPair][]rest{}}
	env.sayingEnv = newSayingEnv(t, 4, readRest, func(e *sayingEnv, p sayingPair, w http.ResponseWriter) bool {
		now := e.now()
		if !resting(p) || now < sayingFrom || now >= restUntil {
			return true
		}
		seconds, _ := strconv.ParseFloat(value, 64)
		e.sayMu.Lock()
		env.rests[p] = append(env.rests[p], rest{now + restKnown, now + time.Duration(seconds*float64(time.Second))})
		e.sayMu.Unlock()
		w.Header().Set("Not-Run", "full")
		w.Header().Set(headerRest, value)
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	})
	return env
}

// disturbed returns in how many rests engines got more requests than they may, and the most
// in one.
func (e *restEnv) disturbed() (rests, most int) {
	arrivals := map[sayingPair][]time.Duration{}
	for _, a := range e.arrivals {
		arrivals[a.sayingPair] = append(arrivals[a.sayingPair], a.at)
	}
	for pair, asked := range e.rests {
		for _, r := range asked {
			got := 0
			for _, at := range arrivals[pair] {
				if at > r.from && at < r.until {
					got++
				}
			}
			if got > restAllowed {
				rests++
			}
			most = max(most, got)
		}
	}
	return rests, most
}

// Guards against an engine that has asked a VM for rest and gets requests from it in that time (BUDGET), and against
// refusing callers for it beside free engines.
func TestEngineThatAsksForRestGetsIt(t *testing.T) {
	for _, c := range restCases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				e := newRestEnv(t, func(p sayingPair) bool { return c.resting(p.engine) }, strconv.FormatFloat(c.seconds, 'f', -1, 64))
				var changes map[time.Duration]func()
				if c.changes != nil {
					changes = c.changes(e.sayingEnv)
				}
				e.play(changes)
				rests, most := e.disturbed()
				t.Logf("%d pairs, %d disturbed rests, at most %d requests in one", len(e.rests), rests, most)
				if rests > 0 || len(e.rests) == 0 {
					t.Errorf("BUDGET: in %d rests engines got more than %d requests, at most %d", rests, restAllowed, most)
				}
				if c.resting("engine-1") {
					e.judgeRefused(sayingFrom+restKnown, sayingFrom+time.Second)
					e.judgeServed(restUntil+time.Duration(c.seconds*float64(time.Second)), sayingRun)
				} else {
					e.judgeServed(sayingFrom+restKnown, sayingRun)
				}
				e.judgeReturn(restUntil + time.Duration(c.seconds*float64(time.Second)))
			})
		})
	}
}

// judgeReturn checks that engines get requests again after their rest, and no burst of them.
func (e *restEnv) judgeReturn(from time.Duration) {
	e.t.Helper()
	const window = 100 * time.Millisecond
	after, burst := map[string]int{}, 0
	for pair := range e.rests {
		counts := map[time.Duration]int{}
		for _, a := range e.arrivals {
			if a.engine == pair.engine && a.at >= restUntil {
				after[a.engine]++
				counts[a.at/window]++
				burst = max(burst, counts[a.at/window])
			}
		}
		if after[pair.engine] == 0 {
			e.t.Errorf("%s gets no requests after its rest", pair.engine)
		}
	}
	e.t.Logf("after the rest %v requests, at most %d in %s", after, burst, window)
	if mean := float64(versionVMs) * window.Seconds() / sayingInterval.Seconds(); float64(burst) > 1.5*mean {
		e.t.Errorf("%d requests reach an engine within %s after its rest, all engines together get %.0f", burst, window, mean)
	}
}

// Guards against an engine that is out of use, or a VM that fails, for a value that names no time, and for what an earlier
// process asked.
func TestEngineThatAsksForNoRestIsUsed(t *testing.T) {
	for _, value := range []string{"", "0", "-1", "NaN", "Inf", "1e300", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		t.Run(value, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				e := newRestEnv(t, func(p sayingPair) bool { return p.engine == "engine-0" }, value)
				e.play(nil)
				e.judgeUsed(sayingFrom + restKnown)
			})
		})
	}
	t.Run("a new process", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			began := time.Now().UnixMilli()
			e := newRestEnv(t, func(p sayingPair) bool { return p.engine == "engine-0" && p.start == began }, "300")
			e.play(map[time.Duration]func(){sayingFrom + time.Second: func() { e.startEngine("engine-0", "v1"); e.list("engine-0") }})
			e.judgeUsed(sayingFrom + 1500*time.Millisecond)
		})
	})
}

// judgeUsed checks that the first engine gets requests after a moment.
func (e *restEnv) judgeUsed(from time.Duration) {
	e.t.Helper()
	used := 0
	for _, a := range e.arrivals {
		if a.engine == "engine-0" && a.at > from {
			used++
		}
	}
	e.t.Logf("%d of %d requests at engine-0", used, len(e.arrivals))
	if used < 20 {
		e.t.Error("engine-0 is not used")
	}
}

func readRest(head *relay.Head, h http.Header) { head.Rest = ratelimit.ReadRest(h[headerRest]) }
