package membership

import (
	"sync/atomic"
	"time"
)

// pauseDetector detects that this process did not run for a while because its VM
// was stopped, migrated or starved of CPU. The process itself doesn't notice, and
// meanwhile the platform may have declared this incarnation gone and others may
// have taken over its work. A step that was pending before the pause would then be
// executed twice. So every access to the tracker first checks how long ago the
// last one was: a pause is detected before the first step after it, even if timers
// fire late.
type pauseDetector struct {
	lastCheck atomic.Pointer[time.Time]
	paused    atomic.Bool  // until the resume hooks completed
	count     atomic.Int64 // pauses
}

func (p *pauseDetector) recordCheck(now time.Time) { p.lastCheck.Store(&now) }

// exceeds reports whether the last check was longer ago than the limit. It also
// compares the wall clock, since the monotonic clock of a suspended machine may
// stop. A wall clock that is set forward causes one unneeded run of the hooks.
func (p *pauseDetector) exceeds(now time.Time, limit time.Duration) bool {
	return limit > 0 && p.gap(now) > limit
}

func (p *pauseDetector) gap(now time.Time) time.Duration {
	last := p.lastCheck.Load()
	return max(now.Sub(*last), now.Round(0).Sub(last.Round(0)))
}

// Active reports whether this process is not paused: no gap was detected and the
// resume hooks of the last pause completed. While it is false, no at-most-once
// call may be dispatched. It takes no lock.
func (t *Tracker) Active() bool {
	return !t.pause.paused.Load() && !t.pause.exceeds(time.Now(), t.options.Limits.PauseThreshold)
}

// OnResume adds a hook that runs after each pause, before Active returns true
// again, with the length of the pause. It should ask the platform whether this
// incarnation is still valid, and limit its own duration.
func (t *Tracker) OnResume(f func(gap time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumeHooks = append(t.resumeHooks, f)
}

// CheckPause checks for a pause. It is called several times per
// Limits.PauseThreshold, so that a gap of that length means a pause.
func (t *Tracker) CheckPause() {
	t.lock()
	t.mu.Unlock()
}

// lock acquires the lock, and checks for a pause before any state is evaluated.
func (t *Tracker) lock() time.Time {
	t.mu.Lock()
	now := time.Now()
	if t.pause.exceeds(now, t.options.Limits.PauseThreshold) {
		t.beginPause(now)
	}
	t.pause.recordCheck(now)
	return now
}

// beginPause handles a detected pause until the resume hooks completed. This process
// received nothing during the pause, so its length is not counted as silence of the
// members; this changes no state.
func (t *Tracker) beginPause(now time.Time) {
	t.pause.paused.Store(true)
	t.pause.count.Add(1)
	t.Counters.Pauses.Add(1)
	t.longestPause = max(t.longestPause, t.pause.gap(now))
	gap := now.Sub(*t.pause.lastCheck.Load())
	for _, r := range t.records {
		r.advancedAt = r.advancedAt.Add(gap)
	}
	signal(t.resume)
}

// runResumeHooks runs the resume hooks. If another pause happened meanwhile, their
// results may be older than it, and all hooks run again.
func (t *Tracker) runResumeHooks() {
	for {
		pauses := t.pause.count.Load()
		t.mu.Lock()
		hooks, gap := t.resumeHooks, t.longestPause
		t.mu.Unlock()
		for _, hook := range hooks {
			hook(gap)
		}
		if t.finishResume(pauses) {
			return
		}
	}
}

// finishResume ends the handling of a pause unless there was another one. The lock
// orders it with a pause that is detected at the same time.
func (t *Tracker) finishResume(pauses int64) bool {
	t.lock()
	defer t.mu.Unlock()
	if t.pause.count.Load() != pauses {
		return false
	}
	t.longestPause = 0
	t.pause.paused.Store(false)
	return true
}
