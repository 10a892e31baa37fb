package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
)

// prompt and pacedStream are requests of the two kinds that disturb each other.
func prompt(session uint64) Request {
	return Request{Target: Target{Service: "llm"}, AffinityKey: session, Prefix: []uint64{session}, PromptTokens: 9000, SharedTokens: 6000, MaxTokens: 60, TargetLatency: 500 * time.Millisecond, PauseTarget: 300 * time.Millisecond}
}

func pacedStream(session uint64) Request {
	return Request{Target: Target{Service: "llm"}, AffinityKey: session, Prefix: []uint64{session}, PromptTokens: 700, SharedTokens: 170, MaxTokens: 300, TargetLatency: 300 * time.Millisecond, PauseTarget: 300 * time.Millisecond}
}

// gatherRouter returns a router over engines of 64 slots whose streams have paused.
func gatherRouter(t testing.TB, engines int) *Router {
	t.Helper()
	r := sessionRouterOf(t, engines, 64)
	for range leastEnded {
		r.table.streamsOf(Target{Service: "llm"}).finish(true, r.table.now()+time.Millisecond)
	}
	return r
}

func (r *Router) mustPick(t *testing.T, q Request) *Choice {
	t.Helper()
	c, err := r.Pick(q)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startStream picks an engine for a paced stream, whose first token comes at once.
func (r *Router) startStream(t *testing.T, session uint64) *Choice {
	t.Helper()
	c := r.mustPick(t, pacedStream(session))
	time.Sleep(20 * time.Millisecond)
	c.FirstToken(20 * time.Millisecond)
	return c
}

// Load: paced streams beside long prompts, on more engines than either needs. Once the streams
// run, no prompt goes to an engine at which one generates, the streams are spread over several
// engines, and in a small pool all is as before.
func TestPacedStreamsGather(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := gatherRouter(t, 40)
		streams := map[string]int{}
		for i := range uint64(160) {
			streams[r.startStream(t, i+1).UpstreamID]++
		}
		for i := range uint64(200) {
			c := r.mustPick(t, prompt(1000+i))
			is.Equal(streams[c.UpstreamID], 0)
			c.Done(Outcome{Kind: OutcomeOK, FirstToken: 50 * time.Millisecond, Total: time.Second})
		}
		is.True(len(streams) >= 4 && len(streams) <= 8) // 160 streams at 32 of 64 slots, or a fifth of the pool
		for _, n := range streams {
			is.True(n <= 64)
		}
		small := gatherRouter(t, 12)
		v := small.view(&Request{Target: Target{Service: "llm"}, AffinityKey: 1, PauseTarget: time.Second, MaxTokens: 1})
		v.gatherStreams()
		is.Equal(len(v.gathering), 0)
	})
}

// Two routers agree on where streams gather by what they tell each other, and the engines are
// free for prompts again some seconds after the last stream.
func TestRoutersAgreeWhereStreamsGather(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := gatherRouter(t, 40), gatherRouter(t, 40)
		a.table.OnDispatch(func(n DispatchNotice, _ time.Duration) {
			n.Router = "a"
			b.table.ObserveDispatch(n)
		})
		var running []*Choice
		for i := range uint64(30) {
			running = append(running, a.startStream(t, i+1))
		}
		a.mustPick(t, prompt(500)) // its notice carries the count
		used := map[string]bool{}
		for _, c := range running {
			used[c.UpstreamID] = true
		}
		for i := range uint64(100) {
			is.True(!used[b.mustPick(t, prompt(1000+i)).UpstreamID])
		}
		for _, c := range running {
			c.Done(Outcome{Kind: OutcomeOK, FirstToken: time.Millisecond, Total: time.Second})
		}
		time.Sleep(neededTTL + time.Second)
		v := b.view(&Request{Target: Target{Service: "llm"}, AffinityKey: 1})
		v.gatherStreams()
		is.Equal(len(v.gathering), 0)
	})
}

// Guards against engines that are kept free of prompts for streams which do not pause: streams
// gather once one in twenty has paused for too long, wherever in the fleet, and on engines with
// many slots only.
func TestStreamsGatherWhereTheyPause(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := Target{Service: "llm"}
		gathered := func(r *Router) int {
			r.mustPick(t, pacedStream(1))
			return r.table.Gathered(target)
		}
		r := sessionRouterOf(t, 40, 64)
		for i := range 100 {
			r.table.streamsOf(target).finish(i%50 == 0, r.table.now()+time.Millisecond)
		}
		is.Equal(gathered(r), 0)
		r.table.streamsOf(target).learn("b", StreamReport{Ended: 100, Paused: 101}, r.table.now()) // can't be
		is.Equal(gathered(r), 0)
		r.table.streamsOf(target).learn("b", StreamReport{Ended: 100, Paused: 20}, r.table.now()+time.Millisecond)
		time.Sleep(time.Millisecond)
		is.Equal(gathered(r), 1)
		few := sessionRouterOf(t, 40, 16)
		few.table.streamsOf(target).learn("b", StreamReport{Ended: 100, Paused: 20}, time.Millisecond)
		time.Sleep(time.Millisecond)
		is.Equal(gathered(few), 0)
	})
}

// Guards against streams that wait for engines which have ended: when all engines of the streams
// are ejected, others take their place at once.
func TestStreamsLeaveEndedEngines(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := gatherRouter(t, 40)
		used := map[string]bool{}
		for i := range uint64(20) {
			used[r.mustPick(t, pacedStream(i+1)).UpstreamID] = true
		}
		for id := range used {
			for range failuresToEject {
				r.table.Observe(id, Outcome{Kind: OutcomeUnreachable})
			}
		}
		for i := range uint64(20) {
			c := r.mustPick(t, pacedStream(i+1))
			is.True(!used[c.UpstreamID])
		}
	})
}

// Guards against streams that stay where they gather although more run than was known: beyond
// half of their target they go where the first token comes sooner.
func TestStreamsOverflow(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := gatherRouter(t, 40)
		first := r.mustPick(t, pacedStream(1)).UpstreamID
		v := r.view(&Request{Target: Target{Service: "llm"}, AffinityKey: 1})
		v.gatherStreams()
		for _, e := range v.gathering {
			e.backlog.addRemote(v.now, 2*time.Second)
		}
		is.True(r.mustPick(t, pacedStream(1)).UpstreamID != first)
	})
}

// Load: an engine turns 2.5 times slower for 0.6 s. Its streams' gaps tell within 0.3 s, here and
// at another router, and it is forgotten as fast.
func TestPresentSpeed(t *testing.T) {
	is := is.New(t)
	const gap = 40 * time.Millisecond
	var own, other presentSpeed
	told := 0
	now := time.Second
	for ; now < 1300*time.Millisecond; now += 5 * gap / 2 {
		factor, tell := own.observe(now, 2.5)
		if tell {
			told++
			other.learn(now, factor)
		}
	}
	for ; now < 1600*time.Millisecond; now += 5 * gap / 2 {
		if factor, tell := own.observe(now, 2.5); tell {
			told++
			other.learn(now, factor)
		}
	}
	is.True(own.load(now) >= 1.6)
	is.True(other.load(now) >= 1.6)
	is.True(told >= 1 && told <= 3)
	is.True(own.load(now+600*time.Millisecond) < 1.5)
	is.True(other.load(now+600*time.Millisecond) < 1.5)
	is.True(own.load(now+5*time.Second) < 1.01)
}

// Guards against what a faulty router tells: no number, or one beyond all bounds.
func TestPresentSpeedIsBounded(t *testing.T) {
	is := is.New(t)
	var s presentSpeed
	s.learn(time.Second, 1e9)
	is.True(s.load(time.Second) <= maxSlowdown)
	s.learn(time.Second, -5)
	is.True(s.load(time.Second) >= 1)
}
