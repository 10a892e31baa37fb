package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/kernel"
)

func init() { kernel.Register(Namespace+".test_stay", func() any { return stayAtAffinity{} }) }

// stayAtAffinity is the reference policy in overload: each session stays at its first
// upstream on the ring unless that one is saturated, slow or degraded, whatever its queue.
type stayAtAffinity struct{}

func (stayAtAffinity) choose(v *view) *entry {
	var first *entry
	for e := range walkRing(v.pool.rings[v.set.topology.region[v.from]], mix(v.request.AffinityKey)) {
		if !v.usable(e) {
			continue
		}
		if first == nil {
			first, v.ringUpstream = e, e
		}
		if !v.saturated(e) && !v.slow(e) && !v.degraded(e) {
			return e
		}
	}
	return first
}

// burstResult holds the shared tokens that were prefilled although an engine cached them,
// and the number of first tokens in time.
type burstResult struct {
	repeated int64
	inTime   int
}

// burst simulates half a minute of calm workload, then four times the load for eight
// seconds, which is more than the engines can prefill.
func burst(policy string) burstResult {
	f := newFleetWithPolicy(policy, 6, 12, true)
	f.run(officeWorkload(), 30*time.Second)
	before := f.repeatedPrefill()
	kinds := officeWorkload()
	for _, k := range kinds {
		k.perSecond *= 4
	}
	f.run(kinds, 8*time.Second)
	result := burstResult{repeated: f.repeatedPrefill() - before}
	for _, k := range kinds {
		result.inTime += k.inTime
	}
	return result
}

// Guards against sessions that leave their affinity upstreams in an overload. Every engine
// has a queue, so for nearly every session the wait is shorter somewhere else. Each move
// prefills the shared prefix once more, which lengthens the queues, and streams are refused
// or late that would have been served. A session that stays costs no other request
// anything.
func TestSessionsStayInOverload(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixed, current := burst("test_stay"), burst(SessionPolicy)
		t.Logf("staying: %+v, %s: %+v", fixed, SessionPolicy, current)
		is.True(current.repeated <= fixed.repeated)
		is.True(current.inTime >= fixed.inTime)
	})
}
