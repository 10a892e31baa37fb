package traffic

import (
	"sync"
	"time"
)

// delayWindow is how long a sample of the delay of answers counts.
const delayWindow = 500 * time.Millisecond

// AnswerDelay estimates how long answers to this VM's own calls wait at its link. All of them
// share the queue of the link, whoever answers: the fastest answer of the last moments
// tells what they all wait, while a slow one may have a slow sender. The zero value is ready
// to use; it is safe for concurrent use.
type AnswerDelay struct {
	mu sync.Mutex
	// current and previous hold the least samples of this window and of the one before.
	current, previous delaySample
}

type delaySample struct {
	began time.Time
	least time.Duration
	any   bool
}

// Record adds the time that a call took until its answer, or until it was given up.
func (d *AnswerDelay) Record(now time.Time, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	if !d.current.any || took < d.current.least {
		d.current.least, d.current.any = took, true
	}
}

// Estimate returns the least time that recent calls took; 0 without any.
func (d *AnswerDelay) Estimate(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	switch {
	case d.current.any && d.previous.any:
		return min(d.current.least, d.previous.least)
	case d.current.any:
		return d.current.least
	}
	return d.previous.least
}

// advance begins a new window if the current one is over.
func (d *AnswerDelay) advance(now time.Time) {
	switch age := now.Sub(d.current.began); {
	case age < delayWindow:
	case age < 2*delayWindow:
		d.previous, d.current = d.current, delaySample{began: now}
	default:
		d.previous, d.current = delaySample{}, delaySample{began: now}
	}
}
