package edge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"buckthornridge/bubble"
	"buckthornridge/peer"
	"buckthornridge/reach"
	"buckthornridge/relay"
	"buckthornridge/testnet"
)

var cutModes = map[string]testnet.Mode{"silent": testnet.Silent, "reset": testnet.Reset, "refused": testnet.RefuseNew}

// Guards against a VM that is cut off from upstreams and refuses its callers although
// other VMs reach them.
func TestCutOffVMsServeTheirCallers(t *testing.T) {
	const vms = 6
	everything := []string{"engine", "orders"}
	for _, extent := range []struct {
		name     string
		count    int // VMs that are cut off
		services []string
	}{
		{"one VM", 1, everything},
		{"most VMs", 4, everything},
		{"one service", 2, []string{"orders"}},
	} {
		for name, mode := range cutModes {
			t.Run(extent.name+", "+name, func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					e := newCutEnv(t, vms)
					isCut := func(vm int) bool { return vm < extent.count }
					set := func(mode testnet.Mode) func() {
						return func() {
							for vm := range extent.count {
								for _, service := range extent.services {
									e.net.Cut(mode, vmName(vm), e.byName[service]...)
								}
							}
						}
					}
					e.load(map[time.Duration]func(){cutAt: set(mode), healAt: set(testnet.Reachable)})
					served, all := e.tally(isCut)
					otherServed, others := e.tally(func(vm int) bool { return !isCut(vm) })
					t.Logf("cut off: %d of %d, others: %d of %d", served, all, otherServed, others)
					if 3*served*others < 2*otherServed*all && all-served > 10+all/50 {
						t.Errorf("VMs that were cut off served %d of %d first attempts, the others %d of %d", served, all, otherServed, others)
					}
					e.checkPromises(t)
					e.checkReturnsToItsPath(t)
				})
			})
		}
	}
}

// ownPathWithin is how soon after a cut a VM must use its own connections again.
const ownPathWithin = 2 * time.Second

// checkReturnsToItsPath checks that nothing is forwarded long after the cuts.
func (e *cutEnv) checkReturnsToItsPath(t *testing.T) {
	t.Helper()
	for i, p := range e.vms {
		if late := p.forward.sent.Load() - e.forwardedBefore[i]; late > 0 {
			t.Errorf("%s forwarded %d requests later than %s after the cut", p.settings.VM, late, ownPathWithin)
		}
	}
}

// Guards against callers that wait, or hear that their request may have run, where no VM
// reaches the upstreams, or where one reaches neither upstreams nor other VMs.
func TestWithoutAnyPathRequestsAreRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		count int // VMs that are cut off from the upstreams
		alone bool
	}{{"all VMs", 4, false}, {"a VM that is alone", 1, true}} {
		for name, mode := range cutModes {
			if mode == testnet.RefuseNew {
				continue // open connections go on serving
			}
			t.Run(c.name+", "+name, func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					e := newCutEnv(t, 4)
					e.load(map[time.Duration]func(){cutAt: func() {
						for vm := range c.count {
							e.net.Cut(mode, vmName(vm), e.upstreams()...)
							for other := range e.vms {
								if c.alone && other != vm {
									e.net.Cut(mode, vmName(vm), peerAddress(other))
								}
							}
						}
					}})
					for _, a := range e.attempts {
						if a.vm >= c.count || a.at < judgedFrom || a.at >= healAt {
							continue
						}
						if a.status != http.StatusServiceUnavailable || !a.retryAfter || a.took >= reach.BriefDial {
							t.Errorf("%s at %s: status %d after %s, Retry-After %t", a.path, a.at, a.status, a.took, a.retryAfter)
						}
					}
					e.checkPromises(t)
				})
			})
		}
	}
}

// Guards against promises that are broken when VMs, upstreams and the links between VMs
// fail together while requests are forwarded.
func TestForwardingKeepsItsPromisesUnderRandomFaults(t *testing.T) {
	for seed := range seedCount(t, "FORWARD_SEEDS", 6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				e := newCutEnv(t, 5)
				e.load(e.randomFaults(rand.New(rand.NewPCG(uint64(seed), 52))))
				e.checkPromises(t)
				e.checkReturnsToItsPath(t)
			})
		})
	}
}

// randomFaults returns cuts between VMs and upstreams and between VMs, all of which have
// ended at healAt.
func (e *cutEnv) randomFaults(random *rand.Rand) map[time.Duration]func() {
	changes := changePlan{}
	modes := []testnet.Mode{testnet.Silent, testnet.Reset, testnet.RefuseNew}
	cut := func(targets []string, longest time.Duration) {
		vm, mode := vmName(random.IntN(len(e.vms))), modes[random.IntN(len(modes))]
		from := time.Duration(random.Int64N(int64(healAt)))
		to := min(from+time.Duration(random.Int64N(int64(longest))), healAt)
		changes.add(from, func() { e.net.Cut(mode, vm, targets...) })
		changes.add(to, func() { e.net.Cut(testnet.Reachable, vm, targets...) })
	}
	for range 5 {
		cut(e.upstreams(), healAt)
		cut(e.byName["orders"], healAt)
	}
	for range 60 {
		cut([]string{peerAddress(random.IntN(len(e.vms)))}, time.Second)
	}
	changes.add(healAt, func() {
		for vm := range e.vms {
			e.net.Cut(testnet.Reachable, vmName(vm), e.upstreams()...)
		}
	})
	return changes
}

// Guards against runs that go on after their callers left: the caller's leaving must reach
// an upstream through another VM.
func TestForwardedRunEndsWhenItsCallerLeaves(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		e := newCutEnv(t, 3)
		e.net.Cut(testnet.Reset, vmName(0), e.upstreams()...)
		e.ask(t.Context(), 0, "/read/", "warm", 0)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, cancel)
		e.ask(ctx, 0, "/endless/", "left", 0)
		time.Sleep(500 * time.Millisecond)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs["left"] != 1 || !e.ended["left"] {
			t.Errorf("runs %d, ended %t half a second after the caller left", e.runs["left"], e.ended["left"])
		}
	})
}

// Guards against a planned stop that cuts the requests which a VM sends for others.
func TestPlannedStopCompletesForwardedRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		e := newCutEnv(t, 2)
		e.net.Cut(testnet.Reset, vmName(0), e.upstreams()...)
		e.ask(t.Context(), 0, "/read/", "warm", 0)
		var requests sync.WaitGroup
		requests.Go(func() { e.ask(t.Context(), 0, "/stream/", "long", 0) })
		time.Sleep(45 * time.Millisecond) // its first event has arrived
		stopping := e.vms[1]
		stopping.stopping.Store(true)
		e.ask(t.Context(), 0, "/once/", "late", 0)
		if last := e.last(); last.status != http.StatusServiceUnavailable {
			t.Errorf("a request that no VM can send got status %d", last.status)
		}
		stopping.awaitForwarded(t.Context())
		stopping.peerSrv.Close()
		requests.Wait()
		if last := e.last(); !last.whole {
			t.Errorf("the stream was cut: status %d", last.status)
		}
	})
}

// Guards against upstreams that are taken for crashed, and requests that are quarantined,
// because a VM lost its connections to them.
func TestCutIsNoCrashOfUpstreams(t *testing.T) {
	for _, count := range []int{1, 4, 6} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				e := newCutEnv(t, 6)
				e.load(map[time.Duration]func(){cutAt: func() {
					for vm := range count {
						e.net.Cut(testnet.Reset, vmName(vm), e.upstreams()...)
					}
				}})
				for _, p := range e.vms {
					if crashes := p.guard.Counters().Crashes.Load(); crashes > 0 {
						t.Errorf("%s counted %d crashes", p.settings.VM, crashes)
					}
				}
			})
		})
	}
}

// Guards against a VM whose memory fills with responses that their callers do not read:
// the upstream must wait for the caller, through another VM too.
func TestForwardedResponseWaitsForItsCaller(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		e := newCutEnv(t, 2)
		response, err := e.vms[0].forward.Send(t.Context(), relay.OutgoingRequest{
			Request:  &relay.Request{ID: "slow", Method: http.MethodPost, Target: "/flood/", Authority: "h"},
			Upstream: relay.Upstream{ID: "orders-0", Address: "orders-0:1", Service: "orders"}, Remaining: time.Minute,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer response.Close()
		time.Sleep(time.Second)
		const buffers = 128 << 10 // of connections and of HTTP, on the way
		if written := e.flooded.Load(); written > peer.Window*forwardChunk+buffers {
			t.Errorf("the upstream wrote %d bytes that nobody read", written)
		}
		body, err := io.ReadAll(response)
		if err != nil || len(body) != floodBytes {
			t.Errorf("%d bytes of %d arrived, %v", len(body), floodBytes, err)
		}
	})
}
