package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// maxPartCandidates bounds the parts that are weighed against each other.
const maxPartCandidates = 64

// partVerdict says that requests with all of some parts crash upstreams. Parts that were
// there at exactly the same crashes can't be told apart: requests with some of them are
// sent until a crash, or an answer, decides.
type partVerdict struct {
	keys    []partKey
	crashes map[Process]time.Time
	// from is the start of the quarantine, until its end.
	from, until time.Time
	// tryFrom is when one request is sent again, to learn whether it still holds.
	tryFrom time.Time
	// tried is the last such request of this router.
	tried *atomic.Pointer[trial]
}

// trial is a request that is sent although it is quarantined.
type trial struct {
	at      time.Time
	request Fingerprint
}

const (
	// firstTry is the time after the last crash before a part is tried again, and
	// firstSoundTry that for one that was sound before and may have been refused by mistake.
	// Each try that crashes an upstream multiplies it by tryGrowth: at most three a day.
	firstTry      = 10 * time.Minute
	firstSoundTry = 5 * time.Second
	tryGrowth     = 30
	// tryMargin is the time after the start of a quarantine in which a crash is of a request
	// that was sent before.
	tryMargin = time.Second
	// tryInterval is the time between two tries of which none was answered or crashed.
	tryInterval = time.Minute
)

// mayTry reports whether one request of a quarantined part is sent all the same: a part
// that is refused gets no other chance to be answered.
func (t *Table) mayTry(v *partVerdict, r Request, now time.Time) bool {
	if now.Before(v.tryFrom) || t.elected == nil || !t.elected(v.String()) {
		return false
	}
	last, next := v.tried.Load(), &trial{at: now, request: r.Fingerprint()}
	if last != nil && now.Sub(last.at) < tryInterval {
		return last.request == next.request
	}
	if !v.tried.CompareAndSwap(last, next) {
		return false
	}
	klog.Infof("step=quarantine parts=%s state=tried crashes=%d", v, len(v.crashes))
	return true
}

// String returns the verdict's parts.
func (v *partVerdict) String() string {
	names := make([]string, len(v.keys))
	for i, k := range v.keys {
		names[i] = k.String()
	}
	return strings.Join(names, "+")
}

// partView is the part of a view that concerns parts.
type partView struct {
	// suspects holds the parts with crashes since they were last answered, by workspace.
	suspects map[partKey]bool
	// repeated holds those with several events.
	repeated map[partKey]bool
	// verdicts are listed by the part of their first key.
	verdicts map[Part][]*partVerdict
}

// refuses returns the verdict by which a request is refused, or nil.
func (v *partView) refuses(r Request, now time.Time) *partVerdict {
	if len(v.verdicts) == 0 {
		return nil
	}
	for _, part := range r.Parts {
		for _, verdict := range v.verdicts[part] {
			if !now.Before(verdict.from) && now.Before(verdict.until) && !slices.ContainsFunc(verdict.keys, func(k partKey) bool { return !r.has(k) }) {
				return verdict
			}
		}
	}
	return nil
}

// suspected reports whether upstreams crashed several times under a part of a request.
func (v *partView) suspected(r Request) bool {
	if len(v.repeated) == 0 {
		return false
	}
	return slices.ContainsFunc(r.Parts, func(p Part) bool { return v.repeated[keyOf(p, r.workspaceHash())] })
}

// evaluateParts decides which parts are quarantined. requests holds the crashes of whole
// requests: one that was there at all crashes of a part is the narrower explanation. The
// caller must hold t.mu.
func (t *Table) evaluateParts(now time.Time, requests map[Fingerprint]map[Process]bool) partView {
	states := t.partStates(now)
	t.pruneParts(states, now)
	view := partView{suspects: map[partKey]bool{}, repeated: map[partKey]bool{}, verdicts: map[Part][]*partVerdict{}}
	lastAnswer := t.lastAnswers(states)
	var candidates []*partVerdict
	for k, s := range states {
		if len(s.crashes) == 0 || k.Workspace == anyWorkspace && len(s.workspaces) < 2 {
			continue
		}
		events := s.events(lastAnswer)
		view.suspects[k] = true
		if len(events) >= suspicionLimit {
			view.repeated[k] = true
		}
		if limit := s.limit(); len(events) >= limit {
			last := slices.MaxFunc(slices.Collect(maps.Values(s.crashes)), time.Time.Compare)
			candidates = append(candidates, &partVerdict{
				keys: []partKey{k}, crashes: s.crashes, from: events[limit-1].Add(settleTime), until: last.Add(retention),
				tryFrom: last.Add(s.tryDelay(events)),
			})
		}
	}
	for _, v := range explain(candidates) {
		if !explainedByRequest(v, requests) {
			v.tried = t.view.Load().parts.triedBefore(v)
			view.verdicts[v.keys[0].Part] = append(view.verdicts[v.keys[0].Part], v)
		}
	}
	return view
}

// tryDelay returns how long after the last of the events the part is tried again.
func (s *partState) tryDelay(events []time.Time) time.Duration {
	delay, from := firstTry, events[s.limit()-1].Add(settleTime+tryMargin)
	if s.sound {
		delay = firstSoundTry
	}
	for _, at := range events {
		if at.After(from) && delay < retention {
			delay *= tryGrowth
		}
	}
	return delay
}

// explain returns the least set of parts that explains the crashes under all candidates.
// What ran beside the cause was there at fewer crashes than the cause, or at crashes that
// several causes explain together.
func explain(candidates []*partVerdict) []*partVerdict {
	slices.SortFunc(candidates, func(a, b *partVerdict) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), comparePartKeys(a.keys[0], b.keys[0]))
	})
	candidates = candidates[:min(len(candidates), maxPartCandidates)]
	var maximal []*partVerdict
	for _, c := range candidates {
		superset := slices.IndexFunc(maximal, func(m *partVerdict) bool { return includes(m.crashes, c.crashes) })
		switch {
		case superset < 0:
			maximal = append(maximal, c)
		case len(maximal[superset].crashes) == len(c.crashes):
			maximal[superset].keys = append(maximal[superset].keys, c.keys...)
		}
	}
	for i := len(maximal) - 1; i >= 0; i-- {
		if len(maximal) > 1 && coveredByOthers(maximal, i) {
			maximal = slices.Delete(maximal, i, i+1)
		}
	}
	return maximal
}

// triedBefore returns the last trial of a verdict that may have been in force before.
func (v *partView) triedBefore(next *partVerdict) *atomic.Pointer[trial] {
	for _, earlier := range v.verdicts[next.keys[0].Part] {
		if slices.Equal(earlier.keys, next.keys) {
			return earlier.tried
		}
	}
	return new(atomic.Pointer[trial])
}

func includes(all, some map[Process]time.Time) bool {
	for p := range some {
		if _, has := all[p]; !has {
			return false
		}
	}
	return true
}

// coveredByOthers reports whether each crash of one candidate is also one of another.
func coveredByOthers(candidates []*partVerdict, i int) bool {
	for p := range candidates[i].crashes {
		if !slices.ContainsFunc(candidates, func(o *partVerdict) bool { _, has := o.crashes[p]; return has && o != candidates[i] }) {
			return false
		}
	}
	return true
}

// explainedByRequest reports whether one request was there at all crashes of a part.
func explainedByRequest(v *partVerdict, requests map[Fingerprint]map[Process]bool) bool {
	for _, crashes := range requests {
		all := len(crashes) >= len(v.crashes)
		for p := range v.crashes {
			all = all && crashes[p]
		}
		if all {
			return true
		}
	}
	return false
}

// explains reports whether the verdicts explain all crashes of a request.
func (v *partView) explains(crashes map[Process]bool) bool {
	for p := range crashes {
		found := false
		for _, verdicts := range v.verdicts {
			found = found || slices.ContainsFunc(verdicts, func(o *partVerdict) bool { _, has := o.crashes[p]; return has })
		}
		if !found {
			return false
		}
	}
	return true
}

// logPartTransitions writes a line for each verdict that is new or no longer holds.
func logPartTransitions(old, next *partView) {
	names := func(v *partView) map[string]int {
		all := map[string]int{}
		for _, verdicts := range v.verdicts {
			for _, verdict := range verdicts {
				all[verdict.String()] = len(verdict.crashes)
			}
		}
		return all
	}
	was, is := names(old), names(next)
	for name, crashes := range is {
		if _, known := was[name]; !known {
			klog.Warningf("step=quarantine parts=%s state=quarantined crashes=%d", name, crashes)
		}
	}
	for name := range was {
		if _, holds := is[name]; !holds {
			klog.Warningf("step=quarantine parts=%s state=released", name)
		}
	}
}
