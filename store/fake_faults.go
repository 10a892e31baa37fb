package store

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the injected faults of a Fake. The zero value is a platform without
// latency, faults or rate limits.
type Faults struct {
	// Down refuses every call with ErrUnavailable.
	Down bool
	// PartitionedVMs are ids of VMs whose calls are refused with ErrUnavailable.
	PartitionedVMs []string
	// Silent gives no response to the calls that Down or PartitionedVMs refuse
	// until their context ends: a write then gives ErrOutcomeUnknown.
	Silent bool
	// Latency of a call, half of it before the effect and half after.
	Latency time.Duration

	// LoseNext is the number of next writes that take effect, but give
	// ErrOutcomeUnknown.
	LoseNext int
	// LoseRate is the share of writes, 0 to 1, that take effect, but give
	// ErrOutcomeUnknown.
	LoseRate float64
	// DelayNext is the number of next writes that give ErrOutcomeUnknown and are
	// applied after Delay, if their conditions hold then.
	DelayNext int
	// DelayRate is the share of writes, 0 to 1, that are delayed in this way.
	DelayRate float64
	// Delay of delayed writes; 0 delays them until ReleaseDelayed.
	Delay time.Duration

	// WritesPerSecond limits the table's commits, with a burst of one second's
	// worth; 0 means no limit.
	WritesPerSecond float64
	// ReadsPerSecond limits the table's reads and scans; 0 means no limit.
	ReadsPerSecond float64
	// CountRows counts rows instead of calls against the limits.
	CountRows bool

	// VMListLag is the age of the VM list that callers get.
	VMListLag time.Duration
	// VMListFrozen stops updates of the VM list.
	VMListFrozen bool
}

// Faults returns the current faults, with the remaining LoseNext and DelayNext.
func (f *Fake) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copyFaults()
}

// SetFaults replaces the faults.
func (f *Fake) SetFaults(faults Faults) {
	f.UpdateFaults(func(current *Faults) { *current = faults })
}

// UpdateFaults changes the faults atomically.
func (f *Fake) UpdateFaults(change func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceVMList()
	before := f.faults
	next := f.copyFaults()
	change(&next)
	next.PartitionedVMs = slices.Clone(next.PartitionedVMs)
	f.faults = next
	if before.WritesPerSecond != next.WritesPerSecond {
		f.writeLimit = newLimiter(next.WritesPerSecond)
	}
	if before.ReadsPerSecond != next.ReadsPerSecond {
		f.readLimit = newLimiter(next.ReadsPerSecond)
	}
}

func (f *Fake) copyFaults() Faults {
	faults := f.faults
	faults.PartitionedVMs = slices.Clone(faults.PartitionedVMs)
	return faults
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// allow takes cost tokens from a limiter. A cost over the burst takes the whole
// burst, so that such a call is refused at times, but not always.
func allow(limit *rate.Limiter, cost int) bool {
	if limit.Limit() == rate.Inf {
		return true
	}
	return limit.AllowN(time.Now(), min(cost, limit.Burst()))
}

// writeOutcome is the outcome of a write that reached the platform.
type writeOutcome int

const (
	outcomeNormal writeOutcome = iota
	outcomeResponseLost
	outcomeDelayed
)

func (f *Fake) drawOutcome() writeOutcome {
	if drawFault(f, &f.faults.DelayNext, f.faults.DelayRate) {
		f.counters.Delayed++
		return outcomeDelayed
	}
	if drawFault(f, &f.faults.LoseNext, f.faults.LoseRate) {
		f.counters.ResponsesLost++
		return outcomeResponseLost
	}
	return outcomeNormal
}

func drawFault(f *Fake, next *int, share float64) bool {
	if *next > 0 {
		*next--
		return true
	}
	return share > 0 && f.random.Float64() < share
}
