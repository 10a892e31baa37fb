package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"buckthornridge/bubble"
)

// newInUseWithin is how soon streams must begin at a version that was listed.
const newInUseWithin = 1500 * time.Millisecond

// anyAt reports whether any stream has an event of a version.
func (e *versionEnv) anyAt(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.streams, func(s *callerStream) bool { return slices.Contains(s.versions, version) })
}

// newEngines is how many engines of a new version join in a test.
const newEngines = 6

// eachNew calls f for the engines that join.
func (e *versionEnv) eachNew(f func(id string)) {
	for i := range newEngines {
		f(fmt.Sprint("new-", i))
	}
}

// joinNew starts the engines of a new version.
func (e *versionEnv) joinNew() {
	e.eachNew(func(id string) { e.startEngine(id, "v2"); e.list(id) })
}

// leaveNew ends them.
func (e *versionEnv) leaveNew() {
	e.eachNew(func(id string) { e.crashEngine(id); e.unlist(id) })
}

// judgeNoneMixed checks that no stream holds events of two versions.
func (e *versionEnv) judgeNoneMixed() {
	e.t.Helper()
	e.judgeOrder()
	if n := e.count(always); n.mixed > 0 {
		e.t.Errorf("ORDER: %d streams hold events of two versions", n.mixed)
	}
}

// eachMoment runs a test for streams with and without a name and moments after a new version
// was listed.
func eachMoment(t *testing.T, test func(e *versionEnv, after time.Duration)) {
	for _, unnamed := range []bool{true, false} {
		for _, after := range []time.Duration{50, 100, 300, 600, 900, 1400, 2200} {
			t.Run(fmt.Sprintf("unnamed %t, after %d ms", unnamed, after), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					e := newVersionEnv(t, 1, "v1")
					e.unnamed = unnamed
					test(e, after*time.Millisecond)
				})
			})
		}
	}
}

// Guards against streams that are joined from two versions where all VMs end soon after a
// version is listed, and its upstreams with them.
func TestAllVMsEndSoonAfterAVersionIsListed(t *testing.T) {
	eachMoment(t, func(e *versionEnv, after time.Duration) {
		e.load(map[time.Duration]func(){
			disturbedAt:         e.joinNew,
			disturbedAt + after: func() { e.eachVM(e.killVM); e.leaveNew() },
			disturbedAt + after + 200*time.Millisecond: func() { e.eachVM(e.startVM) },
		})
		e.judgeNoneMixed()
	})
}

// Guards against streams that are joined from two versions at VMs that have not heard of a
// version which others use.
func TestVMsOutOfStepDoNotGuessTheVersion(t *testing.T) {
	eachMoment(t, func(e *versionEnv, after time.Duration) {
		e.load(map[time.Duration]func(){
			disturbedAt:         func() { e.partition(3, true); e.partition(4, true); e.joinNew() },
			disturbedAt + after: e.leaveNew,
		})
		e.judgeNoneMixed()
		if after > newInUseWithin && !e.anyAt("v2") {
			e.t.Error("no stream has begun at the new version")
		}
	})
}
