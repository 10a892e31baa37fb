package membership

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/store"
)

var errNoResponse = errors.New("no response")

// newTestTracker returns a tracker of vm-000 that knows vm-001 from the list.
func newTestTracker() *Tracker {
	t := NewTracker(Options{Self: memberOf(vmOf(0)), HeartbeatRoles: routerHeartbeats, Seed: 1})
	t.ApplyVMList(vmsOf(2))
	return t
}

const peerID = "vm-001"

func (t *Tracker) stateOf(id string) State { return t.View().Load().Members[id].State }

// heartbeatMessage returns a message with a heartbeat of vm-001, sent by vm-001
// itself or by another process.
func heartbeatMessage(sequence uint64, direct bool) Message {
	key := keyOf(peerID, vmOf(1).Incarnation)
	m := Message{Heartbeats: Heartbeats{{Key: key, Sequence: sequence}}}
	if direct {
		m.From = key
	}
	return m
}

// callFailureMessage returns a message of a process that failed to call vm-001.
func callFailureMessage(sequence uint64) Message {
	return Message{CallFailures: heartbeatMessage(sequence, false).Heartbeats}
}

func updateMessage(vm store.VM, state State, sequence uint64) Message {
	n := Update{Member: memberOf(vm), Sequence: sequence}
	n.Member.State = state
	return Message{Updates: []Update{n}}
}

func vmList(vm store.VM, state store.VMState) []store.VM {
	vm.State = state
	return []store.VM{vm}
}

func restarted(vm store.VM) store.VM {
	vm.Incarnation = "1764720000000000002"
	return vm
}

// runTicks ticks a tracker for a time in which it receives nothing.
func runTicks(t *Tracker, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(250 * time.Millisecond)
		t.Tick()
	}
}

func TestEvidence(t *testing.T) {
	staleList := vmsOf(2)
	cases := map[string]struct {
		events func(*Tracker)
		want   State
	}{
		"listed":                    {func(*Tracker) {}, Live},
		"failed call":               {func(k *Tracker) { k.Suspect(peerID, errNoResponse) }, Suspected},
		"leaving by the list":       {func(k *Tracker) { k.ApplyVMList(vmList(vmOf(1), store.VMLeaving)); k.ApplyVMList(staleList) }, Leaving},
		"leaving by its own update": {func(k *Tracker) { k.Receive(updateMessage(vmOf(1), Leaving, 1)); k.ApplyVMList(staleList) }, Leaving},
		"gone by the list":          {func(k *Tracker) { k.ApplyVMList(vmList(vmOf(1), store.VMGone)); k.ApplyVMList(staleList) }, Gone},
		"gone, then a heartbeat":    {func(k *Tracker) { k.ApplyVMList(vmList(vmOf(1), store.VMGone)); k.Receive(heartbeatMessage(9, true)) }, Gone},
		"gone by a peer's update":   {func(k *Tracker) { k.Receive(updateMessage(vmOf(1), Gone, 1)) }, Live},
		"dead by a peer's update":   {func(k *Tracker) { k.Receive(updateMessage(vmOf(1), Dead, 1)) }, Live},
		"restarted after gone": {func(k *Tracker) {
			k.ApplyVMList(vmList(vmOf(1), store.VMGone))
			k.Receive(updateMessage(restarted(vmOf(1)), Live, 1))
		}, Live},
		"restarted after leaving": {func(k *Tracker) {
			k.Receive(updateMessage(vmOf(1), Leaving, 1))
			k.ApplyVMList(vmList(restarted(vmOf(1)), store.VMLive))
		}, Live},
		"late update of the old incarnation": {func(k *Tracker) {
			k.ApplyVMList(vmList(restarted(vmOf(1)), store.VMLive))
			k.Receive(updateMessage(vmOf(1), Leaving, 7))
		}, Live},
		"old incarnation gone": {func(k *Tracker) {
			k.ApplyVMList(vmList(restarted(vmOf(1)), store.VMLive))
			k.ApplyVMList(vmList(vmOf(1), store.VMGone))
		}, Live},
		"silent beyond the limit Suspected": {func(k *Tracker) { k.Receive(heartbeatMessage(1, true)); runTicks(k, 5*time.Second) }, Suspected},
		"silent beyond the limit Dead":      {func(k *Tracker) { k.Receive(heartbeatMessage(1, true)); runTicks(k, 9*time.Second) }, Dead},
		"dead, then listed as live": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			runTicks(k, 9*time.Second)
			k.ApplyVMList(staleList)
		}, Dead},
		"dead, then the same heartbeat": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			runTicks(k, 9*time.Second)
			k.Receive(heartbeatMessage(5, true))
		}, Dead},
		"dead, then an older heartbeat": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			runTicks(k, 9*time.Second)
			k.Receive(heartbeatMessage(4, true))
		}, Dead},
		"dead, then a newer heartbeat": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			runTicks(k, 9*time.Second)
			k.Receive(heartbeatMessage(6, true))
		}, Live},
		"leaving and silent": {func(k *Tracker) { k.Receive(updateMessage(vmOf(1), Leaving, 5)); runTicks(k, 9*time.Second) }, Dead},
		"leaving, dead, then a heartbeat": {func(k *Tracker) {
			k.Receive(updateMessage(vmOf(1), Leaving, 5))
			runTicks(k, 9*time.Second)
			k.Receive(heartbeatMessage(6, true))
		}, Leaving},
		"no heartbeat received": {func(k *Tracker) { runTicks(k, time.Minute) }, Suspected},
		"suspected, then listed as live": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			k.Suspect(peerID, errNoResponse)
			k.ApplyVMList(staleList)
		}, Suspected},
		"suspected, then a direct heartbeat": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			k.Suspect(peerID, errNoResponse)
			k.Receive(heartbeatMessage(6, true))
		}, Live},
		"suspected, then a heartbeat that was in flight": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			k.Suspect(peerID, errNoResponse)
			k.Receive(heartbeatMessage(8, false))
		}, Suspected},
		"suspected, then a later heartbeat": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			k.Suspect(peerID, errNoResponse)
			k.Receive(heartbeatMessage(9, false))
		}, Live},
		"call failure, recent heartbeat": {func(k *Tracker) { k.Receive(heartbeatMessage(5, true)); k.Receive(callFailureMessage(5)) }, Live},
		"call failure, then silent": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			k.Receive(callFailureMessage(5))
			runTicks(k, 2*time.Second)
		}, Suspected},
		"call failure, then silent for longer": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			k.Receive(callFailureMessage(5))
			runTicks(k, 4*time.Second)
		}, Dead},
		"call failure, then a heartbeat": {func(k *Tracker) {
			k.Receive(heartbeatMessage(5, true))
			k.Receive(callFailureMessage(5))
			k.Receive(heartbeatMessage(6, false))
			runTicks(k, 3*time.Second)
		}, Live},
		"call failure older than a heartbeat": {func(k *Tracker) {
			k.Receive(heartbeatMessage(6, true))
			k.Receive(callFailureMessage(5))
			runTicks(k, 3*time.Second)
		}, Live},
		"leaving by the configuration":           {func(k *Tracker) { k.SetConfiguredLeaving(map[string]bool{peerID: true}) }, Leaving},
		"leaving by the configuration, reverted": {func(k *Tracker) { k.SetConfiguredLeaving(map[string]bool{peerID: true}); k.SetConfiguredLeaving(nil) }, Live},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				k := newTestTracker()
				c.events(k)
				is.New(t).Equal(k.stateOf(peerID), c.want)
			})
		})
	}
}

// A router is killed, and one other router's call to it fails. Unless that is sent
// to the others, they wait for the whole limit of silence and send it requests
// meanwhile.
func TestCallFailureIsForwarded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := newTestTracker(), newTestTracker()
		first.Receive(heartbeatMessage(5, true))
		second.Receive(heartbeatMessage(5, true))
		first.Suspect(peerID, errNoResponse)
		second.Receive(first.UrgentMessage())
		is.Equal(second.stateOf(peerID), Live) // another process's failed call alone changes no state
		runTicks(second, 2*time.Second)
		is.Equal(second.stateOf(peerID), Suspected)
	})
}

// A leaving engine refuses a request of one router, while the VM list is frozen and
// says live for minutes. All other routers must stop sending to the engine, and
// start again once it has a new incarnation.
func TestUpstreamReportedLeaving(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := store.VM{ID: "design-1", Incarnation: "1", Role: "engine", State: store.VMLive}
		first, second := newTestTracker(), newTestTracker()
		first.ApplyVMList([]store.VM{engine})
		second.ApplyVMList([]store.VM{engine})
		first.ReportLeaving("design-1", "engine")
		<-first.Urgent()
		second.Receive(first.UrgentMessage())
		first.ApplyVMList([]store.VM{engine})
		second.ApplyVMList([]store.VM{engine})
		is.Equal(first.stateOf("design-1"), Leaving)
		is.Equal(second.stateOf("design-1"), Leaving)
		engine.Incarnation = "2"
		first.ApplyVMList([]store.VM{engine}) // the second reads the list much later
		second.Receive(first.UrgentMessage())
		is.Equal(second.stateOf("design-1"), Live)
	})
}

// An engine that is in no list reports that it is leaving. It can't be distinguished
// from its next incarnation, so it must not be excluded for ever.
func TestUnlistedUpstreamReportedLeaving(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := newTestTracker(), newTestTracker()
		first.ReportLeaving("design-1", "engine")
		second.Receive(first.UrgentMessage())
		is.Equal(first.stateOf("design-1"), Leaving)
		is.Equal(second.stateOf("design-1"), Leaving)
		runTicks(second, DefaultLimits().LeavingTTL+time.Second)
		is.Equal(second.stateOf("design-1"), Live)
	})
}

// A VM is stopped for a minute in the middle of a step. When it continues, its
// timers have not fired yet, so the first call of Active must already return false.
// The VM received nothing meanwhile, which must not make other members dead.
func TestPauseIsDetected(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newTestTracker()
		k.Receive(heartbeatMessage(1, true))
		hookRuns := 0
		k.OnResume(func(gap time.Duration) {
			is.True(!k.Active())
			is.Equal(gap, time.Minute)
			hookRuns++
		})
		is.True(k.Active())
		time.Sleep(time.Minute)
		is.True(!k.Active()) // before any timer
		k.Tick()
		is.True(!k.Active()) // until the resume hooks completed
		is.Equal(k.stateOf(peerID), Live)
		<-k.resume
		k.runResumeHooks()
		is.True(k.Active())
		is.Equal(hookRuns, 1)
		is.Equal(k.Counters.Pauses.Value(), int64(1))
	})
}

// The VM is paused again while a resume hook asks the platform about the first
// pause. The response may be older than the second pause, so the hooks must run
// again.
func TestPauseDuringResumeHooks(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newTestTracker()
		hookRuns := 0
		k.OnResume(func(time.Duration) {
			if hookRuns++; hookRuns == 1 {
				time.Sleep(time.Minute)
			}
		})
		time.Sleep(time.Minute)
		k.CheckPause()
		k.runResumeHooks()
		is.True(k.Active())
		is.Equal(hookRuns, 2)
	})
}

// A pause of this process must not make a dead member live.
func TestPauseKeepsDeadMembers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := newTestTracker()
		k.Receive(heartbeatMessage(1, true))
		runTicks(k, 9*time.Second)
		is.Equal(k.stateOf(peerID), Dead)
		time.Sleep(time.Minute)
		k.Tick()
		is.Equal(k.stateOf(peerID), Dead)
	})
}

func TestMalformedMessages(t *testing.T) {
	k := newTestTracker()
	is := is.New(t)
	long := vmOf(5)
	long.Address = string(make([]byte, maxTextBytes+1))
	for _, m := range []Message{
		{Heartbeats: make(Heartbeats, maxHeartbeats+1)},
		{Updates: make([]Update, maxUpdates+1)},
		{CallFailures: make(Heartbeats, maxCallFailures+1)},
		updateMessage(store.VM{}, Live, 1),
		updateMessage(long, Live, 1),
		updateMessage(vmOf(1), State(77), 1),
	} {
		before := k.Counters.Malformed.Value()
		k.Receive(m)
		is.Equal(k.Counters.Malformed.Value(), before+1)
	}
	is.Equal(len(k.View().Load().Members), 2)
}
