package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	// partCrashLimit is the number of events in which upstreams crash under a part before
	// it is quarantined, and soundCrashLimit that for a part that was answered before: it
	// is more likely to have been there by chance.
	partCrashLimit  = 3
	soundCrashLimit = 5
	// soundFor is how long ago a part was answered at most to be taken for one that was
	// sound before its crashes.
	soundFor = 10 * time.Minute
	// suspicionLimit is the number of such events after which a request with the part is
	// not sent a second time.
	suspicionLimit = 2
	// eventGap is the least time between two crashes that count as two events: upstreams
	// that lose power together crash together under every popular part. soundEventGap is
	// that for parts that were answered before: a deadly part may end all upstreams of a
	// service one after the other, and all requests that they had break with them.
	eventGap      = 100 * time.Millisecond
	soundEventGap = 500 * time.Millisecond
	// maxPartCrashes bounds the crashes under parts, and the parts that were answered
	// since, in the record of one router.
	maxPartCrashes = 256
	// answeredRecently is how long ago a part was answered at most for its crashes not to
	// be published at once: it will most likely be answered again.
	answeredRecently = 10 * time.Second
)

// partObservations are what one router knows of parts, in this router's time.
type partObservations struct {
	crashes  map[partKey]map[Process]time.Time
	answered map[partKey]time.Time
	sound    map[partKey]bool // parts with crashes that were answered before
	// lastAnswer is when any request was last answered before the end of a process.
	lastAnswer map[Process]time.Time
}

func newPartObservations() partObservations {
	return partObservations{
		crashes: map[partKey]map[Process]time.Time{}, answered: map[partKey]time.Time{}, sound: map[partKey]bool{},
		lastAnswer: map[Process]time.Time{},
	}
}

// add records a crash under a part. The first of several reports of one crash is the most
// exact.
func (o partObservations) add(k partKey, p Process, at time.Time) (added bool) {
	crashes := o.crashes[k]
	if crashes == nil {
		crashes = map[Process]time.Time{}
		o.crashes[k] = crashes
	}
	earlier, known := crashes[p]
	if known && !at.Before(earlier) {
		return false
	}
	crashes[p] = at
	return !known
}

// size returns the number of crashes under parts.
func (o partObservations) size() int {
	n := 0
	for _, crashes := range o.crashes {
		n += len(crashes)
	}
	return n
}

// crashPart records that a process ended while it had a request that it had not begun to
// answer. The caller must hold t.mu.
func (t *Table) crashPart(p Process, r Request, at time.Time) {
	if last := time.Unix(0, t.lastAnswer.Load()); last.Before(at) {
		t.own.parts.lastAnswer[p] = last
	}
	workspace, unusual := r.workspaceHash(), false
	for _, part := range r.Parts {
		k := keyOf(part, workspace)
		if !t.own.parts.add(k, p, at) {
			continue
		}
		answered, known := t.answered.last(k)
		if t.wasSound(k, at) {
			t.own.parts.sound[k] = true
		}
		unusual = unusual || !known || at.Sub(answered) > answeredRecently
	}
	t.evaluateSoon()
	if unusual {
		t.signalChange()
		return
	}
	t.signalLater()
}

// wasSound reports whether this router has seen a part answered in the time before, for any
// workspace.
func (t *Table) wasSound(k partKey, now time.Time) bool {
	at, known := t.answered.last(k.everywhere())
	return known && now.Sub(at) <= soundFor
}

// partAnswered records that an upstream answers a request: its parts are not what crashed
// others before.
func (t *Table) partAnswered(r Request) {
	if len(r.Parts) == 0 {
		return
	}
	t.lastAnswer.Store(time.Now().UnixNano())
	now, workspace, suspects := time.Now(), r.workspaceHash(), t.view.Load().parts.suspects
	news := false
	for _, part := range r.Parts {
		for _, k := range [...]partKey{keyOf(part, workspace), keyOf(part, anyWorkspace)} {
			t.answered.mark(k, now)
			news = news || suspects[k]
		}
	}
	if !news {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range r.Parts {
		for _, k := range [...]partKey{keyOf(part, workspace), keyOf(part, anyWorkspace)} {
			if suspects[k] {
				t.own.parts.answered[k] = now
			}
		}
	}
	t.evaluateSoon()
	t.signalLater()
}

// partState is the evidence of all routers on one part in the requests of one workspace, or
// of all.
type partState struct {
	crashes    map[Process]time.Time // since the part was last answered
	workspaces map[uint32]bool
	answered   time.Time
	sound      bool // it was answered before its crashes
}

// limit returns the number of events after which the part is quarantined.
func (s *partState) limit() int {
	if s.sound {
		return soundCrashLimit
	}
	return partCrashLimit
}

// partStates combines the evidence of all routers. The caller must hold t.mu.
func (t *Table) partStates(now time.Time) map[partKey]*partState {
	states := map[partKey]*partState{}
	state := func(k partKey) *partState {
		s := states[k]
		if s == nil {
			s = &partState{crashes: map[Process]time.Time{}, workspaces: map[uint32]bool{}}
			s.answered, _ = t.answered.last(k)
			s.sound = t.wasSound(k, now)
			states[k] = s
		}
		return s
	}
	each := func(visit func(o partObservations)) {
		visit(t.own.parts)
		for _, o := range t.others {
			visit(o.parts)
		}
	}
	each(func(o partObservations) {
		for k := range o.crashes {
			one, all := state(k), state(k.everywhere())
			one.sound = one.sound || o.sound[k]
			all.sound = all.sound || o.sound[k]
		}
	})
	each(func(o partObservations) {
		for k, at := range o.answered {
			for _, s := range [...]*partState{states[k], states[k.everywhere()]} {
				if s != nil && at.After(s.answered) {
					s.answered = at
				}
			}
		}
	})
	each(func(o partObservations) {
		for k, crashes := range o.crashes {
			one, all := states[k], states[k.everywhere()]
			for p, at := range crashes {
				if now.Sub(at) >= retention {
					continue
				}
				one.note(p, at, k.Workspace)
				all.note(p, at, k.Workspace)
			}
		}
	})
	return states
}

// note adds a crash if the part has not been answered since.
func (s *partState) note(p Process, at time.Time, workspace uint32) {
	if !at.After(s.answered) {
		return
	}
	if earlier, known := s.crashes[p]; !known || at.Before(earlier) {
		s.crashes[p] = at
	}
	s.workspaces[workspace] = true
}

// events returns the times of the events in which upstreams crashed, the first one first.
// lastAnswer says when any request was last answered before the end of a process. Of a part
// that was sound before, crashes with no answer at all between them are one event: in an
// outage of a whole service nothing could show that it still is.
func (s *partState) events(lastAnswer map[Process]time.Time) []time.Time {
	byTime := slices.SortedFunc(maps.Keys(s.crashes), func(a, b Process) int {
		return cmp.Or(s.crashes[a].Compare(s.crashes[b]), cmp.Compare(a, b))
	})
	gap := eventGap
	if s.sound {
		gap = soundEventGap
	}
	var events []time.Time
	for _, p := range byTime {
		at := s.crashes[p]
		if len(events) > 0 {
			last := events[len(events)-1]
			if at.Sub(last) < gap || s.sound && !lastAnswer[p].After(last) {
				continue
			}
		}
		events = append(events, at)
	}
	return events
}

// lastAnswers combines what all routers know of the last answer before the end of each
// process. The caller must hold t.mu.
func (t *Table) lastAnswers(states map[partKey]*partState) map[Process]time.Time {
	ends := map[Process]time.Time{} // some routers find a connection broken later than others
	for _, s := range states {
		for p, at := range s.crashes {
			if earlier, known := ends[p]; !known || at.Before(earlier) {
				ends[p] = at
			}
		}
	}
	all := map[Process]time.Time{}
	add := func(o partObservations) {
		for p, at := range o.lastAnswer {
			if at.After(all[p]) && at.Before(ends[p]) {
				all[p] = at
			}
		}
	}
	add(t.own.parts)
	for _, o := range t.others {
		add(o.parts)
	}
	return all
}

// prune forgets the own crashes under parts that were answered since, and the answers that
// no crash needs. The caller must hold t.mu.
func (t *Table) pruneParts(states map[partKey]*partState, now time.Time) {
	own := t.own.parts
	for k, crashes := range own.crashes {
		s, before := states[k], len(crashes)
		maps.DeleteFunc(crashes, func(_ Process, at time.Time) bool {
			return !at.After(s.answered) || now.Sub(at) >= retention
		})
		if len(crashes) == 0 {
			delete(own.crashes, k)
			delete(own.sound, k)
		}
		if len(crashes) < before {
			t.signalLater()
		}
	}
	ended := map[Process]bool{}
	for _, crashes := range own.crashes {
		for p := range crashes {
			ended[p] = true
		}
	}
	maps.DeleteFunc(own.lastAnswer, func(p Process, _ time.Time) bool { return !ended[p] })
	newest := map[partKey]time.Time{} // of the crashes that other routers record
	for _, o := range t.others {
		for k, crashes := range o.parts.crashes {
			for _, at := range crashes {
				for _, k := range [...]partKey{k, k.everywhere()} {
					if at.After(newest[k]) {
						newest[k] = at
					}
				}
			}
		}
	}
	for k, crash := range newest {
		// It may have been answered before this router learned of the crash.
		at, known := t.answered.last(k)
		if known && at.After(crash) && own.answered[k].Before(crash) && !t.answeredElsewhere(k, crash) {
			own.answered[k] = at
			t.signalLater()
		}
	}
	maps.DeleteFunc(own.answered, func(k partKey, at time.Time) bool {
		crash, known := newest[k]
		return !known || crash.After(at) || t.answeredElsewhere(k, crash)
	})
	t.evictParts(states)
}

// answeredElsewhere reports whether another router says that a part was answered after a
// crash. The caller must hold t.mu.
func (t *Table) answeredElsewhere(k partKey, crash time.Time) bool {
	for _, o := range t.others {
		if o.parts.answered[k].After(crash) {
			return true
		}
	}
	return false
}

// evictParts removes the own crashes of the parts with the fewest crashes, the oldest first,
// if there are too many. A caller that crashes upstreams with ever new parts thus can't
// displace one that is quarantined. The caller must hold t.mu.
func (t *Table) evictParts(states map[partKey]*partState) {
	own := t.own.parts
	excess := own.size() - maxPartCrashes
	if excess <= 0 {
		return
	}
	newest := func(k partKey) time.Time {
		return slices.MaxFunc(slices.Collect(maps.Values(own.crashes[k])), time.Time.Compare)
	}
	for _, k := range slices.SortedFunc(maps.Keys(own.crashes), func(a, b partKey) int {
		return cmp.Or(cmp.Compare(len(states[a].crashes), len(states[b].crashes)), newest(a).Compare(newest(b)))
	}) {
		if excess <= 0 {
			return
		}
		excess -= len(own.crashes[k])
		delete(own.crashes, k)
		delete(own.sound, k)
		klog.Warningf("step=quarantine %s state=evicted", k)
	}
}
