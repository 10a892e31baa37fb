package edge

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/ratelimit"
	"buckthornridge/relay"
	"buckthornridge/routing"
)

// forwardDelay is how long it takes to ask another VM to send a request.
const forwardDelay = 2 * time.Millisecond

// lendingEnv is a fleet whose VMs send requests for each other.
type lendingEnv struct {
	*brittleEnv
	began time.Time

	mu                               sync.Mutex
	asked, served, refusedBesideRoom int
}

func newLendingEnv(t *testing.T, vms, upstreams int, limit float64) *lendingEnv {
	return &lendingEnv{brittleEnv: newBrittleEnv(t, vms, upstreams, limit), began: time.Now()}
}

// send has a VM serve a request, which is counted if it is judged.
func (e *lendingEnv) send(vm int, judged bool) {
	served := e.try(vm)
	if !judged {
		return
	}
	active := e.active()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	if served {
		e.served++
	} else if active < len(e.upstreams)*brittleSlots/2 {
		e.refusedBesideRoom++
	}
}

// weaken lets fewer requests wait at all upstreams.
func (e *lendingEnv) weaken(waiting int) {
	for _, u := range e.upstreams {
		u.weaken(waiting)
	}
}

func (e *lendingEnv) active() int {
	active := 0
	for _, u := range e.upstreams {
		u.mu.Lock()
		active += u.active
		u.mu.Unlock()
	}
	return active
}

// try picks upstreams for a request until one takes it.
func (e *lendingEnv) try(vm int) bool {
	var excluded []string
	for range 2 {
		c, err := e.routers[vm].Pick(routing.Request{Target: routing.Target{Service: "orders"}, Exclude: excluded})
		if err != nil {
			return false
		}
		release, ok := func() {}, true
		if c.Borrowed {
			time.Sleep(forwardDelay)
			release, ok = e.borrow(vm, c.UpstreamID)
		}
		if ok && e.run(vm, c, release) {
			return true
		}
		if !ok {
			c.Done(routing.Outcome{Kind: routing.OutcomeFull})
		}
		excluded = append(excluded, c.UpstreamID)
	}
	return false
}

// borrow takes another VM's part.
func (e *lendingEnv) borrow(vm int, id string) (release func(), ok bool) {
	holders := e.fleets[vm].holders(id)
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	for _, name := range holders[:min(len(holders), maxLenders)] {
		holder, err := strconv.Atoi(strings.TrimPrefix(name, "vm-"))
		if err != nil {
			panic(err)
		}
		if release, ok := e.routers[holder].Table().Lend(id); ok {
			return release, true
		}
	}
	return nil, false
}

// run sends a request and reports whether the upstream took it.
func (e *lendingEnv) run(vm int, c *routing.Choice, release func()) bool {
	u := e.upstreams[c.UpstreamID]
	reading := ratelimit.Reading{}
	if time.Since(e.began) >= brittleNamed {
		reading = ratelimit.Reading{Named: true, PerSecond: u.limit}
	}
	answered := func() {
		release()
		e.fleets[vm].signals().Observe(relay.Upstream{ID: c.UpstreamID, Service: "orders"}, relay.Head{RejectionLimit: reading})
	}
	taken, down := u.arrive(time.Now())
	if taken {
		time.AfterFunc(brittleWork, func() {
			u.complete()
			c.Done(routing.Outcome{Kind: routing.OutcomeOK, Total: brittleWork})
			answered()
		})
		return true
	}
	kind := routing.OutcomeFull
	if down {
		kind = routing.OutcomeUnreachable
	}
	c.Done(routing.Outcome{Kind: kind})
	answered()
	e.fleets[vm].rejections.Rejected(c.UpstreamID, reading)
	return false
}

// Guards against fleets with more VMs than a brittle upstream has slots, whose VMs without a part make upstreams fall over
// (LIMIT) or refuse their callers beside free slots.
func TestVMsWithoutAPartSendOnThatOfOthers(t *testing.T) {
	const upstreams, length = 4, brittleFrom + 4*time.Second
	for _, vms := range []int{6, 59, 195} {
		for _, load := range []float64{0.3, 0.6, 4} { // of what the slots bear
			for _, hot := range []float64{0, 0.5} { // the share of one VM
				t.Run(fmt.Sprintf("%d VMs, load %g, %g at one", vms, load, hot), func(t *testing.T) {
					bubble.Test(t, func(t *testing.T) {
						is := is.New(t)
						e := newLendingEnv(t, vms, upstreams, 3)
						bears := upstreams * brittleSlots * float64(time.Second) / float64(brittleWork)
						due, sent := 0.0, 0
						for now := time.Duration(0); now < length; now += time.Millisecond {
							share := load
							if now < brittleFrom {
								share = min(load, 0.5)
							} else {
								e.weaken(0)
							}
							for due += share * bears / 1000; due >= 1; due-- {
								vm := sent % vms
								if rand.Float64() < hot {
									vm = 0
								}
								judged := now >= brittleFrom
								go e.send(vm, judged)
								sent++
							}
							if now%maintenanceInterval == 0 {
								for _, f := range e.fleets {
									f.updateRouters()
								}
							}
							time.Sleep(time.Millisecond)
						}
						time.Sleep(time.Second)
						falls := 0
						for _, u := range e.upstreams {
							fell, _ := u.counts()
							falls += fell
						}
						e.mu.Lock()
						defer e.mu.Unlock()
						t.Logf("%d falls, %d of %d served, %d refused beside free slots", falls, e.served, e.asked, e.refusedBesideRoom)
						is.True(falls <= 2+upstreams/10)
						is.True(float64(e.served) >= 0.6*float64(e.asked)/max(load, 1))
						is.True(float64(e.refusedBesideRoom) <= 0.1*float64(e.asked))
					})
				})
			}
		}
	}
}
