package quarantine

import (
	"maps"
	"slices"
)

// PartCrash is the end of an upstream's process while it had requests with some parts that
// it had not begun to answer.
type PartCrash struct {
	Process Process   `msgpack:"p"`
	At      int64     `msgpack:"t"` // milliseconds of the shared clock
	Parts   []partKey `msgpack:"k"`
	// Sound are those of the parts that the router had seen answered before.
	Sound []partKey `msgpack:"s,omitempty"`
	// AnsweredAt is when the router last saw any request answered before the crash; 0 if it
	// has seen none.
	AnsweredAt int64 `msgpack:"b,omitempty"`
}

// PartAnswered says when a part was last seen in a request that was being answered.
type PartAnswered struct {
	Key partKey `msgpack:"k"`
	At  int64   `msgpack:"t"` // milliseconds of the shared clock
}

// record returns the observations as they are published.
func (o partObservations) record(clock *commonClock) (crashes []PartCrash, answered []PartAnswered) {
	byProcess := map[Process]*PartCrash{}
	for _, k := range slices.SortedFunc(maps.Keys(o.crashes), comparePartKeys) {
		for p, at := range o.crashes[k] {
			c := byProcess[p]
			if c == nil {
				c = &PartCrash{Process: p, At: clock.toShared(at)}
				if last, known := o.lastAnswer[p]; known {
					c.AnsweredAt = clock.toShared(last)
				}
				byProcess[p] = c
			}
			c.At = min(c.At, clock.toShared(at))
			c.Parts = append(c.Parts, k)
			if o.sound[k] {
				c.Sound = append(c.Sound, k)
			}
		}
	}
	for _, p := range slices.Sorted(maps.Keys(byProcess)) {
		crashes = append(crashes, *byProcess[p])
	}
	for _, k := range slices.SortedFunc(maps.Keys(o.answered), comparePartKeys) {
		answered = append(answered, PartAnswered{Key: k, At: clock.toShared(o.answered[k])})
	}
	return crashes, answered
}

// readParts returns the observations of a record.
func readParts(r Record, clock *commonClock) partObservations {
	o := newPartObservations()
	for _, c := range r.PartCrashes {
		clock.observe(c.At)
	}
	for _, a := range r.PartsAnswered {
		clock.observe(a.At)
	}
	left := maxPartCrashes
	for _, c := range r.PartCrashes {
		for _, k := range c.Parts[:min(len(c.Parts), left)] {
			o.add(k, c.Process, clock.toLocal(c.At))
			left--
		}
		if c.AnsweredAt != 0 {
			o.lastAnswer[c.Process] = clock.toLocal(c.AnsweredAt)
		}
		for _, k := range c.Sound[:min(len(c.Sound), maxPartCrashes)] {
			o.sound[k] = true
		}
	}
	for _, a := range r.PartsAnswered[:min(len(r.PartsAnswered), maxPartCrashes)] {
		o.answered[a.Key] = clock.toLocal(a.At)
	}
	return o
}
