package admission

import (
	"context"
	"sync"
	"time"

	"buckthornridge/routing"
)

// pool admits the requests of one target.
type pool struct {
	target   routing.Target
	capacity Capacity

	mu               sync.Mutex
	queue            Queue
	inUse            int // number of admitted requests that are not released
	completions      rate
	admissions       map[int]*rate     // by priority
	lastAdmitted     map[int]time.Time // by priority
	recheckScheduled bool
}

// enqueue admits a request at once, queues it, or returns its refusal.
func (p *pool) enqueue(w *waiter, share float64, bound int, decision *Decision) error {
	limit := p.capacity.Limit(p.target)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	decision.Ahead = p.queue.len()
	if limit <= 0 {
		return p.refuse(w, CauseOverload, 0, now)
	}
	if w.late(now) && !p.mayExplore(w, now) {
		return p.refuse(w, CauseDeadline, 0, now)
	}
	if p.queue.len() == 0 && p.inUse < limit {
		p.admit(w, share, now)
		return nil
	}
	wait := p.predictWait(w, share, limit, now)
	decision.Wait = wait
	if !w.deadline.IsZero() && now.Add(wait+w.firstToken).After(w.deadline) {
		return p.refuse(w, CauseDeadline, wait, now)
	}
	if p.queue.workspaceLen(w.workspace) >= bound {
		evicted := p.queue.evict(w.workspace, w.priority)
		if evicted == nil {
			return p.refuse(w, CauseQueueFull, wait, now)
		}
		evicted.result <- p.refuse(evicted, CauseOverload, wait, now)
	}
	w.share = share
	p.queue.push(w, share)
	p.dispatchLocked(now, limit)
	p.scheduleRecheck()
	return nil
}

// exploreInterval is the time between two requests that are tried against the
// prediction.
const exploreInterval = 100 * time.Millisecond

// mayExplore reports whether a request may continue although it is predicted to be
// late, which one request of a priority may if none was admitted recently.
// Predictions are corrected by measurements of admitted requests; if all were
// refused, a prediction that is too long would never be corrected.
func (p *pool) mayExplore(w *waiter, now time.Time) bool {
	if last, seen := p.lastAdmitted[w.priority]; seen && now.Sub(last) < exploreInterval {
		return false
	}
	p.lastAdmitted[w.priority] = now
	w.firstToken = min(w.firstToken, w.deadline.Sub(now))
	return w.firstToken > 0
}

// admit admits a waiter that is not in the queue. The caller must hold mu.
func (p *pool) admit(w *waiter, share float64, now time.Time) {
	p.inUse++
	p.queue.charge(w.workspace, share, w.cost)
	if p.admissions[w.priority] == nil {
		p.admissions[w.priority] = &rate{}
	}
	p.admissions[w.priority].add(now, 1)
	p.lastAdmitted[w.priority] = now
	w.result <- nil
}

// wait waits for the waiter's result. It gives up when even an immediate dispatch
// would miss the deadline.
func (p *pool) wait(ctx context.Context, w *waiter) error {
	select {
	case err := <-w.result:
		return err
	default:
	}
	var lastStart <-chan time.Time
	if !w.deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.deadline.Add(-w.firstToken)))
		defer timer.Stop()
		lastStart = timer.C
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return p.withdraw(w, ctx.Err())
	case <-lastStart:
		return p.withdraw(w, nil)
	}
}

// withdraw removes a waiter from the queue. If the waiter was admitted in the
// meantime and its context has ended, its slot is released. A nil cause stands for
// the deadline.
func (p *pool) withdraw(w *waiter, cause error) error {
	p.mu.Lock()
	select {
	case err := <-w.result:
		p.mu.Unlock()
		if err != nil {
			return err
		}
		if cause == nil {
			return nil // admitted just in time
		}
		p.release()
		return cause
	default:
	}
	defer p.mu.Unlock()
	p.queue.remove(w)
	if cause != nil {
		return cause
	}
	return p.refuse(w, CauseDeadline, 0, time.Now())
}

// release frees a slot and admits the next requests.
func (p *pool) release() {
	now := time.Now()
	p.mu.Lock()
	p.inUse--
	p.completions.add(now, 1)
	p.mu.Unlock()
	p.dispatch()
}

// dispatch admits waiting requests while slots are free.
func (p *pool) dispatch() {
	limit := p.capacity.Limit(p.target)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatchLocked(time.Now(), limit)
}

func (p *pool) dispatchLocked(now time.Time, limit int) {
	for p.inUse < limit {
		w := p.queue.pop()
		if w == nil {
			return
		}
		if w.late(now) {
			w.result <- p.refuse(w, CauseDeadline, 0, now)
			continue
		}
		p.admit(w, w.share, now)
	}
}

// scheduleRecheck schedules a dispatch after recheckInterval, repeatedly while
// requests wait. The caller must hold mu.
func (p *pool) scheduleRecheck() {
	if p.recheckScheduled || p.queue.len() == 0 {
		return
	}
	p.recheckScheduled = true
	time.AfterFunc(recheckInterval, func() {
		p.dispatch()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.recheckScheduled = false
		p.scheduleRecheck()
	})
}

// predictWait estimates the wait of a new request from the number of requests that
// are served before it and the rate at which slots become free for its priority. It
// returns 0 until a rate is known, since a wait is better than a refusal without
// evidence. The caller must hold mu.
func (p *pool) predictWait(w *waiter, share float64, limit int, now time.Time) time.Duration {
	if p.completions.perSecond(now) == 0 {
		return 0
	}
	byPriority, byShare := p.queue.countAhead(w, share)
	urgent := float64(byPriority+1) / p.drainRate(w.priority, limit, now)
	fair := fairWaitFactor * float64(byShare+1) / p.drainRate(highestPriority, limit, now)
	return seconds(min(urgent, fair))
}

// fairWaitFactor increases the wait predicted by share, since among the workspaces
// within their share the more urgent requests are still served first.
const fairWaitFactor = 2

// highestPriority is the most urgent priority.
const highestPriority = 0

// minDrainShare is the minimum fraction of the total drain rate that is assumed for
// a priority.
const minDrainShare = 0.02

// drainRate returns the number of slots per second that become free for requests of
// a priority: the total rate less the rate of more urgent admissions.
func (p *pool) drainRate(priority, limit int, now time.Time) float64 {
	all := p.completions.perSecond(now)
	if all == 0 {
		all = float64(max(limit, 1)) / defaultServiceTime.Seconds()
	}
	urgent := 0.0
	for other, r := range p.admissions {
		if other < priority {
			urgent += r.perSecond(now)
		}
	}
	return max(all-urgent, all*minDrainShare)
}

// refuse returns a refusal. Its RetryAfter is the predicted time in which the
// current queue drains. The caller must hold mu.
func (p *pool) refuse(w *waiter, cause Cause, wait time.Duration, now time.Time) *Refusal {
	drain := seconds(float64(p.queue.len()+1) / p.drainRate(w.priority, p.inUse, now))
	return &Refusal{Cause: cause, RetryAfter: withJitter(drain), Wait: wait, FirstToken: w.firstToken}
}

func seconds(s float64) time.Duration {
	const longest = float64(time.Hour)
	return time.Duration(min(s*float64(time.Second), longest))
}
