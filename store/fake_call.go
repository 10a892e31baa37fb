package store

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/pause"
)

// caller makes the calls of one VM.
type caller struct {
	fake *Fake
	vm   string
}

// request is one call with its effect at the platform.
type request struct {
	Call
	write bool
	rows  int // counted against the table's rate limits; 0 for other services
	// effect runs under the fake's lock.
	effect func() error
}

const fakePeer = "platform"

// errNoResponse is the internal error of a refused call that gets no response.
var errNoResponse = eris.New("no response")

// do performs a request: half the latency, the admission checks, the effect and the
// other half of the latency.
func (c *caller) do(ctx context.Context, r request) error {
	r.VM = c.vm
	if err := ctx.Err(); err != nil {
		return CallError(string(r.Step), fakePeer, ErrUnavailable, err)
	}
	half := c.fake.latency() / 2
	if err := pause.For(ctx, half); err != nil {
		c.fake.deliverLater(r, half)
		return r.noResponseError(err)
	}
	if err := c.fake.admit(r); errors.Is(err, errNoResponse) {
		<-ctx.Done()
		return r.noResponseError(ctx.Err())
	} else if err != nil {
		return err
	}
	responded, err := c.fake.execute(r)
	if cause := pause.For(ctx, half); cause != nil {
		return r.noResponseError(cause)
	}
	if !responded {
		return r.noResponseError(nil)
	}
	c.fake.TellEra(c.vm)
	return r.wrap(err)
}

// noResponseError returns the error of a call that was sent and got no response.
func (r request) noResponseError(cause error) error {
	if r.write {
		return CallError(string(r.Step), fakePeer, ErrOutcomeUnknown, cause)
	}
	return CallError(string(r.Step), fakePeer, ErrUnavailable, cause)
}

func (r request) wrap(err error) error {
	if err == nil {
		return nil
	}
	return eris.Wrapf(err, "%s %s", r.Step, fakePeer)
}

func (f *Fake) latency() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.Latency
}

// deliverLater schedules a write whose caller's context ended while the request was in
// transit. A deadline doesn't cancel a request that was sent: the write may take
// effect after the caller has read back and not found it.
func (f *Fake) deliverLater(r request, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.write || f.unreachable(r.VM) {
		return
	}
	f.counters.Delayed++
	f.delay(after, r.effect)
}

func (f *Fake) unreachable(vm string) bool {
	return f.faults.Down || slices.Contains(f.faults.PartitionedVMs, vm)
}

// admit admits a request or refuses it without effect.
func (f *Fake) admit(r request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count(r.Step)
	if f.unreachable(r.VM) {
		f.counters.Unavailable++
		if f.faults.Silent {
			return errNoResponse
		}
		return r.wrap(ErrUnavailable)
	}
	if !f.withinRate(r) {
		f.counters.RateLimited++
		return r.wrap(ErrRateLimited)
	}
	return nil
}

func (f *Fake) withinRate(r request) bool {
	if r.rows == 0 {
		return true
	}
	cost := 1
	if f.faults.CountRows {
		cost = r.rows
	}
	if r.write {
		return allow(f.writeLimit, cost)
	}
	return allow(f.readLimit, cost)
}

func (f *Fake) count(step Step) {
	switch step {
	case StepRead:
		f.counters.Reads++
	case StepScan:
		f.counters.Scans++
	case StepCommit:
		f.counters.Commits++
	case StepPut, StepGet, StepObjects, StepDelete:
		f.counters.ObjectCalls++
	case StepVMs:
		f.counters.VMListCalls++
	case StepAnnounce:
		f.counters.Announcements++
	}
}

// execute applies the effect between the hooks; responded tells whether the caller
// receives the result.
func (f *Fake) execute(r request) (responded bool, err error) {
	f.mu.Lock()
	hooks := f.hooks
	f.mu.Unlock()
	if hooks.Before != nil {
		hooks.Before(r.Call)
	}
	responded, err = f.applyEffect(r)
	if hooks.After != nil {
		hooks.After(r.Call, err)
	}
	return responded, err
}

func (f *Fake) applyEffect(r request) (responded bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDueWrites()
	if !r.write {
		return true, r.effect()
	}
	switch f.drawOutcome() {
	case outcomeDelayed:
		f.delay(f.faults.Delay, r.effect)
		return false, ErrOutcomeUnknown
	case outcomeResponseLost:
		return false, r.effect()
	default:
		return true, r.effect()
	}
}
