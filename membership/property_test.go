package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"buckthornridge/bubble"
	"buckthornridge/store"
)

// testEnv is a set of trackers under a random schedule of ticks, pauses, restarts,
// members that leave, lists of any age, failed calls and messages that are lost,
// late or duplicated.
type testEnv struct {
	failure       string // the first
	trackers      []*Tracker
	lastViews     []map[string]Member // each tracker's view after the last step
	lastSequences []map[string]uint64 // and its heartbeat sequences
	current       []store.VM
	gone          map[string]bool // by incarnationKey, listed as gone by the platform
	lists         [][]store.VM    // all lists so far
	inFlight      []inFlightMessage
	restarts      int
}

type inFlightMessage struct {
	to      int
	message Message
}

func incarnationKey(id, incarnation string) string { return id + "/" + incarnation }

// step is one event of a schedule. The whole schedule is generated before the
// synctest bubble starts, since rapid ends a run by a panic, which must not leave
// the bubble.
type step struct {
	action, actor, target int
	index                 int // of a list or of a message in flight
	duplicate             bool
	ms                    int
}

func schedules(maxSteps int) *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			action:    rapid.IntRange(0, 10).Draw(t, "what"),
			actor:     rapid.IntRange(0, testEnvSize-1).Draw(t, "who"),
			target:    rapid.IntRange(0, testEnvSize-1).Draw(t, "whom"),
			index:     rapid.IntRange(0, 1000).Draw(t, "pick"),
			duplicate: rapid.Bool().Draw(t, "again"),
			ms:        rapid.IntRange(100, 9000).Draw(t, "ms"),
		}
	}), 1, maxSteps)
}

const testEnvSize = 3

func newTestEnv(n int) *testEnv {
	w := &testEnv{gone: map[string]bool{}}
	for i := range n {
		w.current = append(w.current, vmOf(i))
		w.trackers = append(w.trackers, nil)
		w.lastViews = append(w.lastViews, nil)
		w.lastSequences = append(w.lastSequences, nil)
	}
	w.lists = append(w.lists, slices.Clone(w.current))
	for i := range n {
		w.start(i)
	}
	return w
}

func (w *testEnv) start(i int) {
	w.trackers[i] = NewTracker(Options{Self: memberOf(w.current[i]), HeartbeatRoles: routerHeartbeats, Seed: 1})
	w.lastViews[i], w.lastSequences[i] = map[string]Member{}, map[string]uint64{}
}

func (w *testEnv) step(s step) {
	k := w.trackers[s.actor]
	switch s.action {
	case 0, 1, 2:
		k.Tick()
		w.inFlight = append(w.inFlight, inFlightMessage{to: s.target, message: k.NextMessage()})
	case 3, 4:
		w.deliver(s)
	case 5:
		time.Sleep(time.Duration(s.ms) * time.Millisecond)
		k.Tick()
	case 6:
		k.ApplyVMList(w.lists[s.index%len(w.lists)])
	case 7:
		k.Suspect(w.current[s.target].ID, errNoResponse)
	case 8:
		k.Leave()
		w.current[s.actor].State = store.VMLeaving
		w.recordList(w.current)
	case 9:
		w.restart(s.actor)
	case 10:
		k.ApplyExchange(w.trackers[s.target].HandleExchange(k.NewExchangeRequest()))
	}
}

// deliver delivers any message in flight, and may keep it to deliver it again.
func (w *testEnv) deliver(s step) {
	if len(w.inFlight) == 0 {
		return
	}
	position := s.index % len(w.inFlight)
	m := w.inFlight[position]
	if !s.duplicate {
		w.inFlight = slices.Delete(w.inFlight, position, position+1)
	}
	w.trackers[m.to].Receive(m.message)
}

// restart replaces a process. The platform lists the old incarnation as gone, and
// for a while does not list the new one.
func (w *testEnv) restart(i int) {
	w.restarts++
	old := w.current[i]
	w.gone[incarnationKey(old.ID, old.Incarnation)] = true
	old.State = store.VMGone
	w.recordList(append(slices.Delete(slices.Clone(w.current), i, i+1), old))
	w.current[i].Incarnation = fmt.Sprintf("17647200000000%05d", 10+w.restarts)
	w.current[i].State = store.VMLive
	w.recordList(append(slices.Clone(w.current), old))
	w.start(i)
}

func (w *testEnv) recordList(list []store.VM) { w.lists = append(w.lists, slices.Clone(list)) }

func (w *testEnv) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// check compares each view with the previous one of the same tracker.
func (w *testEnv) check() {
	for i, k := range w.trackers {
		view := k.View().Load().Members
		for id, now := range view {
			w.compare(k, i, w.lastViews[i][id], now)
			w.lastSequences[i][id] = k.records[id].sequence
		}
		w.lastViews[i] = view
	}
}

func (w *testEnv) compare(k *Tracker, i int, before, now Member) {
	if now.State == Gone && !w.gone[incarnationKey(now.ID, now.Incarnation)] {
		w.fail("%s: %v is gone, but the platform never listed it as gone", k.self.ID, now)
	}
	if before.ID == "" {
		return
	}
	if store.OlderIncarnation(now.Incarnation, before.Incarnation) {
		w.fail("%s: older incarnation %v replaced %v", k.self.ID, now, before)
	}
	if now.Incarnation != before.Incarnation {
		return
	}
	newer := k.records[now.ID].sequence > w.lastSequences[i][now.ID]
	if k.records[now.ID].sequence < w.lastSequences[i][now.ID] {
		w.fail("%s: the sequence of %s decreased", k.self.ID, now.ID)
	}
	switch {
	case before.State == Gone && now.State != Gone,
		before.State == Leaving && now.State < Leaving,
		before.State == Dead && now.State < Dead && !newer,
		before.State == Suspected && now.State == Live && !newer && w.lastSequences[i][now.ID] > 0:
		w.fail("%s: %s changed from %s to %s", k.self.ID, now.ID, before.State, now.State)
	}
}

// checkSchedules runs random schedules of events. It calls each after every step
// and end after the last one.
func checkSchedules(t *testing.T, maxSteps int, each, end func(*testEnv)) {
	rapid.Check(t, func(r *rapid.T) {
		schedule := schedules(maxSteps).Draw(r, "schedule")
		var w *testEnv
		bubble.Test(t, func(*testing.T) {
			w = newTestEnv(testEnvSize)
			for _, s := range schedule {
				w.step(s)
				each(w)
			}
			end(w)
		})
		if w.failure != "" {
			r.Fatal(w.failure)
		}
	})
}

// Lists lag, messages are reordered and duplicated, processes stop and start. No
// order of these events may revert the states gone and leaving, or the state dead
// without a newer heartbeat. Otherwise a request is sent to a process that refuses
// it, or a grant is reclaimed from a process that still uses it.
func TestStatesNeverRevert(t *testing.T) {
	checkSchedules(t, 120, (*testEnv).check, func(*testEnv) {})
}

// After any schedule, once all trackers receive each other's messages and the
// current list, their views agree with the platform.
func TestViewsConverge(t *testing.T) {
	checkSchedules(t, 60, func(*testEnv) {}, (*testEnv).converge)
}

// converge delivers all messages and the current list to all trackers for ten
// rounds, and compares their views with the platform's.
func (w *testEnv) converge() {
	for range 10 {
		time.Sleep(time.Second)
		for _, k := range w.trackers {
			k.ApplyVMList(w.lists[len(w.lists)-1])
			k.Tick()
			m := k.NextMessage()
			for _, to := range w.trackers {
				to.Receive(m)
			}
		}
	}
	for i, k := range w.trackers {
		for _, vm := range w.current {
			got := k.View().Load().Members[vm.ID]
			if got.State != stateOf(vm.State) || got.Incarnation != vm.Incarnation {
				w.fail("view of tracker %d has %v, the platform has %v", i, got, vm)
			}
		}
	}
}

func stateOf(s store.VMState) State {
	if s == store.VMLeaving {
		return Leaving
	}
	return Live
}
