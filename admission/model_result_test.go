package admission_test

import (
	"time"

	"buckthornridge/admission"
)

func (r *result) count(a arrival, second int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kind(a)[0]++
	r.sent++
	r.offered += a.kind.Weight
	n := r.perSecond[second]
	r.perSecond[second] = [2]int{n[0] + 1, n[1]}
}

func (r *result) attempt(second int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	n := r.perSecond[second]
	r.perSecond[second] = [2]int{n[0], n[1] + 1}
}

func (r *result) fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
}

func (r *result) refuse(a arrival, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if refusal, ok := err.(*admission.Refusal); ok {
		r.refused[refusal.Cause]++
		r.kind(a)[3]++
	}
}

func (r *result) answer(a arrival, first, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.first.RecordValue(first.Microseconds())
	k := a.kind
	if first <= time.Duration(k.FirstTokenMS)*time.Millisecond && total <= time.Duration(k.DeadlineMS)*time.Millisecond {
		r.good += k.Weight
		r.inTime++
		if a.workspace != 0 {
			r.goodOthers += k.Weight
		}
		r.kind(a)[1]++
	} else {
		r.late++
		r.kind(a)[2]++
	}
}

// kind returns the counts of a kind: sent, in time, late, refused.
func (r *result) kind(a arrival) *[4]int {
	if r.kinds[a.kind.name] == nil {
		r.kinds[a.kind.name] = new([4]int)
	}
	return r.kinds[a.kind.name]
}
