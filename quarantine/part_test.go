package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// prompt returns a request whose prompt has some shared parts and an own content.
func prompt(workspace string, n int, parts ...string) Request {
	r := Request{Workspace: workspace, Target: fmt.Sprint("/", n)}
	for _, id := range parts {
		r.Parts = append(r.Parts, PartOf(id))
	}
	return r
}

// crash ends an upstream that had begun to answer none of some requests.
func (f *fleet) crash(n int, requests ...Request) {
	f.end(fmt.Sprint("u", n), requests...)
	time.Sleep(2 * eventGap)
}

// answer has a router report that a request is being answered.
func (f *fleet) answer(router int, r Request) {
	f.guards[router].Answering(r)
	time.Sleep(evaluationDelay)
	f.exchange()
}

// Guards against a part that crashes upstreams in requests of which no two are alike, and
// against refusing other requests of its workspace or with its other parts.
func TestPartIsRefusedAfterThreeCrashes(t *testing.T) {
	runTest(t, func(t *testing.T, is *is.I) {
		f := newFleet(3)
		for n := range partCrashLimit {
			is.Equal(f.refuses(prompt("a", 100, "first", "deadly")), 0)
			f.crash(n, prompt("a", n, "first", "deadly", fmt.Sprint("session", n)), prompt("a", 50+n, "first", fmt.Sprint("kind", n)))
			f.answer(n, prompt("a", 70+n, "first"))
		}
		time.Sleep(settleTime)
		is.Equal(f.refuses(prompt("a", 100, "first", "deadly")), 3)
		is.Equal(f.refuses(prompt("a", 101, "deadly")), 3)
		for _, sound := range []Request{prompt("a", 102, "first"), prompt("a", 103, "first", "kind1"), prompt("a", 104, "session1")} {
			is.Equal(f.refuses(sound), 0)
		}
	})
}

// Guards against refusing all requests with a popular part because it was there at the same
// crashes as the deadly one: requests with one of the two are sent until it is clear which.
func TestPartsThatCrashedTogetherAreRefusedTogether(t *testing.T) {
	runTest(t, func(t *testing.T, is *is.I) {
		f := newFleet(3)
		for n := range partCrashLimit {
			f.crash(n, prompt("a", n, "first", "deadly"))
		}
		time.Sleep(settleTime)
		is.Equal(f.refuses(prompt("a", 100, "first", "deadly")), 3)
		is.Equal(f.refuses(prompt("a", 101, "first")), 0)
		is.Equal(f.refuses(prompt("a", 102, "deadly")), 0)
		f.crash(9, prompt("a", 103, "other", "deadly"))
		is.Equal(f.refuses(prompt("a", 104, "deadly")), 3)
		is.Equal(f.refuses(prompt("a", 105, "first")), 0)
		f.answer(0, prompt("a", 106, "deadly")) // sent before the others knew
		is.Equal(f.refuses(prompt("a", 107, "deadly")), 0)
	})
}

// Guards against refusing popular parts because all upstreams lose power, twice, and nothing is answered meanwhile.
func TestPowerLossOfAllUpstreamsBlamesNoPart(t *testing.T) {
	runTest(t, func(t *testing.T, is *is.I) {
		f := newFleet(3)
		for loss := range partCrashLimit - 1 {
			for u := range 12 {
				id := fmt.Sprint(loss, "-", u)
				f.die(id)
				f.guards[u%3].Broken(Upstream{ID: id, Address: id}, prompt("a", u, "first"), false)
			}
			f.exchange()
			time.Sleep(5 * time.Second)
		}
		is.Equal(f.refuses(prompt("a", 100, "first")), 0)
	})
}

// Guards against refusing a part that was sound before, because upstreams crash under it while nobody is answered, and
// against never refusing one that has become deadly.
func TestPartThatWasSoundIsRefusedLater(t *testing.T) {
	for _, answers := range []bool{false, true} {
		runTest(t, func(t *testing.T, is *is.I) {
			f := newFleet(3)
			f.answer(0, prompt("a", 0, "popular"))
			for n := range soundCrashLimit {
				is.Equal(f.refuses(prompt("a", 100, "popular")), 0)
				time.Sleep(soundEventGap)
				if answers {
					f.answer(0, prompt("a", 1, "another"))
				}
				f.crash(n, prompt("a", 10+n, "popular"))
			}
			time.Sleep(settleTime)
			is.Equal(f.refuses(prompt("a", 101, "popular")) == 3, answers)
		})
	}
}

// Guards against a workspace that has a part of another one refused, and against one that hides its crashes behind a
// part that others use.
func TestWorkspaceDoesNotDecideForAnother(t *testing.T) {
	runTest(t, func(t *testing.T, is *is.I) {
		f := newFleet(3)
		for n := range 5 {
			f.crash(n, prompt("hostile", n, "shared"))
			f.answer(0, prompt("victim", n, "popular"))
			f.crash(10+n, prompt("hostile", n, "popular"))
		}
		time.Sleep(settleTime)
		is.Equal(f.refuses(prompt("victim", 100, "shared")), 0)
		is.Equal(f.refuses(prompt("victim", 101, "popular")), 0)
		is.Equal(f.refuses(prompt("hostile", 102, "shared")), 3)
		is.Equal(f.refuses(prompt("hostile", 103, "popular")), 3)
		f.crash(20, prompt("other", 104, "shared"))
		is.Equal(f.refuses(prompt("victim", 105, "shared")), 3) // it crashes upstreams for several
	})
}

// Guards against a caller that displaces a quarantined part by ever new ones.
func TestManyPartsDoNotDisplaceTheCause(t *testing.T) {
	runTest(t, func(t *testing.T, is *is.I) {
		f := newFleet(1)
		for n := range partCrashLimit {
			f.crash(n, prompt("a", n, "deadly", fmt.Sprint("x", n)))
		}
		for n := range 2 * maxPartCrashes {
			f.crash(10+n, prompt("a", n, fmt.Sprint("new", n), fmt.Sprint("more", n)))
		}
		is.True(f.guards[0].table.own.parts.size() <= maxPartCrashes)
		is.Equal(f.refuses(prompt("a", 100, "deadly")), 1)
	})
}

// Guards against a part that is refused for good though it no longer crashes anything, and against more than a few
// crashes a day by trying it.
func TestQuarantinedPartIsTriedSeldom(t *testing.T) {
	for _, sound := range []bool{true, false} {
		runTest(t, func(t *testing.T, is *is.I) {
			f, tries := newFleet(4), 0
			for i, g := range f.guards {
				g.table.SetElection(func(string) bool { return i == 2 })
			}
			for n := range partCrashLimit {
				f.crash(n, prompt("a", n, "deadly", fmt.Sprint("x", n)))
			}
			for minute := range 23 * 60 {
				time.Sleep(time.Minute)
				r := prompt("a", 100+minute, "deadly")
				if sent := len(f.guards) - f.refuses(r); sent > 0 && tries < 9 {
					is.Equal(sent, 1)
					is.Equal(f.refuses(r), len(f.guards)-1) // the same request passes its later checks
					tries++
					if sound {
						f.answer(2, r)
						break
					}
					f.crash(100+minute, r)
				}
			}
			if sound {
				is.Equal(f.refuses(prompt("a", 9999, "deadly")), 0)
			} else {
				is.True(tries >= 1 && tries <= 3)
			}
		})
	}
}

// publish passes the records on that changed, of each router once in an interval, as Publisher does.
func (f *fleet) publish(last []time.Time, interval time.Duration) {
	for i, from := range f.guards {
		from.table.setPublishInterval(interval)
		if time.Since(last[i]) < interval {
			continue
		}
		select {
		case <-from.table.Changed():
		default:
			continue
		}
		last[i] = time.Now()
		record := from.table.Record()
		for j, to := range f.guards {
			if i != j {
				to.table.Apply(fmt.Sprint("vm-", i), record)
			}
		}
	}
}

// oddsRun plays a fleet for some seconds in which parts crash upstreams beside popular and rare sound ones, and
// upstreams that crash for other causes. It returns the arrivals of each deadly part later than the users allow after its fifth
// crash, and the sound requests that were refused.
func oddsRun(t *testing.T, seed uint64, routers, seconds int) (late map[string]int, refused, sound int) {
	const (
		upstreams, perSecond = 12, 60
		unanswered           = 100 * time.Millisecond // time until the answer begins
		step                 = time.Second / perSecond
	)
	random := rand.New(rand.NewPCG(seed, 61))
	f, published := newFleet(routers), make([]time.Time, routers)
	interval := max(minPublishInterval, time.Duration(routers)*intervalPerRouter)
	type running struct {
		request Request
		router  int
		until   time.Time
		deadly  string
	}
	late = map[string]int{}
	crashes, known := map[string]int{}, map[string]time.Time{}
	open, incarnation := make([][]running, upstreams), make([]int, upstreams)
	end := func(u int) {
		id := fmt.Sprint(u, ".", incarnation[u])
		incarnation[u]++
		f.die(id)
		for _, r := range open[u] {
			f.guards[r.router].Broken(Upstream{ID: id, Address: id}, r.request, false)
		}
		open[u] = nil
	}
	for n := range seconds * perSecond {
		time.Sleep(step)
		for u := range open {
			kept := open[u][:0]
			for i, r := range open[u] {
				if time.Now().Before(r.until) {
					kept = append(kept, r)
					continue
				}
				if r.deadly != "" {
					if crashes[r.deadly]++; crashes[r.deadly] == crashesUntilKnown {
						known[r.deadly] = time.Now()
					}
					open[u] = append(kept, open[u][i:]...)
					end(u)
					kept = nil
					break
				}
				f.guards[r.router].Answering(r.request)
			}
			open[u] = kept
		}
		if n%(7*perSecond) == 0 { // a rack, and single upstreams
			for u := range 1 + random.IntN(4) {
				end(u)
			}
		}
		parts := []string{"first", fmt.Sprint("kind", random.IntN(4)), fmt.Sprint("session", random.IntN(400))}
		deadly := ""
		if random.IntN(25) == 0 {
			deadly = fmt.Sprint("deadly", random.IntN(2))
			parts[random.IntN(2)+1] = deadly
		}
		r := running{request: prompt(fmt.Sprint("w", random.IntN(3)), n, parts...), router: random.IntN(routers),
			until: time.Now().Add(unanswered + time.Duration(random.Int64N(int64(unanswered)))), deadly: deadly}
		_, no := f.guards[r.router].Refuse(r.request)
		switch {
		case deadly == "":
			sound++
			if no {
				refused++
			}
		case !no && crashes[deadly] >= crashesUntilKnown && time.Since(known[deadly]) > contact:
			late[deadly]++
		}
		if no {
			continue
		}
		u := random.IntN(upstreams)
		open[u] = append(open[u], r)
		f.publish(published, interval)
	}
	t.Logf("seed %d: crashes %v, late arrivals %v, %d of %d sound requests refused", seed, crashes, late, refused, sound)
	return late, refused, sound
}

// Guards against blaming sound parts, popular or rare, that run beside two deadly ones and beside upstreams that crash
// for other causes: the odds at the rates of a small deployment.
func TestOddsOfBlamingSoundParts(t *testing.T) {
	for _, size := range []struct{ routers, seconds, seeds int }{{9, 60, 6}, {59, 20, 2}, {195, 10, 1}} {
		for seed := range uint64(size.seeds) {
			runTest(t, func(t *testing.T, is *is.I) {
				late, refused, sound := oddsRun(t, seed, size.routers, size.seconds)
				for _, n := range late {
					is.True(n <= lateAllowed)
				}
				is.True(float64(refused) <= falseRefusals*float64(sound))
			})
		}
	}
}

// The users' bounds: later than contact after the fifth crash, three more requests with a part may reach upstreams; and
// the share of requests that may be refused falsely under faults.
const (
	crashesUntilKnown = 5
	contact           = 3 * time.Second
	lateAllowed       = 3
	falseRefusals     = 0.01
)
