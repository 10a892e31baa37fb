package budget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/pause"
)

// A router that crashes may have dispatched requests that its journal does not
// record. Its exposure bounds their tokens, and that many are written off. To
// serve through an hour's outage of the table the exposure must be large; to
// write off little per crash it must be small, and it cannot be raised once the
// table is down. A witness resolves this: each grant names another router in the
// budget's row. The holder may exceed its small exposure, up to its outage
// exposure, only after that router acknowledged that the holder enters outage
// mode. The reclaimer asks the witness. If the holder never entered outage mode,
// the small exposure bounds the loss; if it did, or if the witness is gone as
// well, the outage exposure does.
//
// The witness keeps one bit in memory and makes no decision: the row alone
// prevents overspend. Losing the bit causes tokens to be written off but never
// overspend, since a witness is named with its incarnation.

// Timing of outage mode.
const (
	// enterOutageAfter is how long the holder waits for an opening entry to become
	// durable before it asks its witness. A healthy commit takes some 50 ms.
	enterOutageAfter = 150 * time.Millisecond
	// leaveInterval is the time between two checks whether the table is back.
	leaveInterval  = 2 * time.Second
	witnessTimeout = 500 * time.Millisecond
	// durableTimeout is the time within which a healthy table commits all entries,
	// including those delayed to share a group commit.
	durableTimeout = time.Second
)

// ErrFenced reports that the witness has barred the holder from outage mode.
var ErrFenced = eris.New("budget: holder is fenced")

// ErrNoWitness reports that a witness cannot be reached.
var ErrNoWitness = eris.New("budget: witness not reached")

// Witnesses reaches the other routers as witnesses.
type Witnesses interface {
	// Choose returns the holder name of another live router: the present one
	// while it is live, "" if there is none.
	Choose(present string) string
	// Enter tells a witness that a holder enters outage mode. nil means that the
	// witness has recorded it. Numbers rise with each Enter and Leave of a
	// holder; messages may arrive out of order.
	Enter(ctx context.Context, witness, holder string, number uint64) error
	// Leave tells a witness that the holder left outage mode and that its journal
	// records every dispatch again.
	Leave(ctx context.Context, witness, holder string, number uint64) error
}

// WitnessFencer asks witnesses on behalf of the reclaimer.
type WitnessFencer interface {
	// Fence reports whether a holder entered outage mode, and bars it from
	// entering any more.
	Fence(ctx context.Context, witness, holder string) (entered bool, err error)
}

// WitnessState is what a router remembers as the witness of other holders.
type WitnessState struct {
	mu      sync.Mutex
	entered map[string]uint64 // number of the last Enter
	fenced  map[string]bool
}

// NewWitnessState returns an empty state.
func NewWitnessState() *WitnessState {
	return &WitnessState{entered: map[string]uint64{}, fenced: map[string]bool{}}
}

// Enter records that a holder enters outage mode.
func (s *WitnessState) Enter(holder string, number uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced[holder] {
		return eris.Wrapf(ErrFenced, "enter %s", holder)
	}
	s.entered[holder] = max(s.entered[holder], number)
	return nil
}

// Leave removes a holder that left outage mode. A Leave that arrives after an
// Enter with a higher number has no effect.
func (s *WitnessState) Leave(holder string, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fenced[holder] && s.entered[holder] < number {
		delete(s.entered, holder)
	}
}

// Fence reports whether a holder entered outage mode, and bars it from entering
// any more: a holder that the platform wrongly declared gone, and that resumes,
// would otherwise spend what the reclaimer frees.
func (s *WitnessState) Fence(holder string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fenced[holder] = true
	return s.entered[holder] > 0
}

// outageMode records which witnesses acknowledged that this holder is in outage
// mode.
type outageMode struct {
	mu        sync.Mutex
	entered   map[string]bool // acknowledged: the outage exposure is in force
	notified  map[string]bool // sent an Enter that the witness may have recorded
	lastLeave uint64          // number of the last Leave
}

func newOutageMode() *outageMode {
	return &outageMode{entered: map[string]bool{}, notified: map[string]bool{}}
}

func (o *outageMode) enteredWith(witness string) bool {
	if witness == "" {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entered[witness]
}

// exposureInForce returns how many tokens may be dispatched before the journal
// records them. The caller holds acc.mu.
func (m *GrantManager) exposureInForce(acc *account) int64 {
	if m.outageMode.enteredWith(acc.witness) {
		return max(acc.exposure, acc.outageExposure)
	}
	return acc.exposure
}

// enterOutage enters outage mode with the account's witness. It reports whether
// the account's outage exposure is in force.
func (m *GrantManager) enterOutage(ctx context.Context, acc *account) bool {
	acc.mu.Lock()
	witness := acc.witness
	acc.mu.Unlock()
	if witness == "" || m.cfg.Witnesses == nil {
		return false
	}
	if m.outageMode.enteredWith(witness) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	number := m.outageMode.beginEnter(witness, &m.numbers)
	if err := m.cfg.Witnesses.Enter(ctx, witness, m.cfg.Holder, number); err != nil {
		count.witnessRefused.Add(1)
		return false
	}
	m.outageMode.mu.Lock()
	defer m.outageMode.mu.Unlock()
	if number < m.outageMode.lastLeave {
		return false // a Leave sent in the meantime may cancel this Enter
	}
	if !m.outageMode.entered[witness] {
		klog.Warningf("the table does not accept journal entries; entering outage mode with witness %s", witness)
	}
	m.outageMode.entered[witness] = true
	return true
}

// beginEnter returns the number of a new Enter. The witness may record it even
// if the answer is lost.
func (o *outageMode) beginEnter(witness string, numbers *atomic.Uint64) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notified[witness] = true
	return numbers.Add(1)
}

// leaveLoop leaves outage mode once the table accepts entries again.
func (m *GrantManager) leaveLoop() {
	for pause.For(m.ctx, leaveInterval) == nil {
		if m.outageMode.inactive() {
			continue
		}
		// The table is back if all pending entries become durable in time.
		ctx, cancel := context.WithTimeout(m.ctx, durableTimeout)
		err := m.journal.WaitDurable(ctx)
		cancel()
		if err == nil {
			m.leaveOutage()
		}
	}
}

func (o *outageMode) inactive() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.notified) == 0
}

// leaveOutage returns to the small exposures and then notifies the witnesses.
// The order makes it safe: first nothing more is dispatched beyond the small
// exposure, then all earlier dispatches become durable, and only then does the
// witness remove the holder.
func (m *GrantManager) leaveOutage() {
	m.outageMode.mu.Lock()
	clear(m.outageMode.entered)
	number := m.numbers.Add(1)
	m.outageMode.lastLeave = number
	var notified []string
	for witness := range m.outageMode.notified {
		notified = append(notified, witness)
	}
	m.outageMode.mu.Unlock()
	if len(notified) == 0 || m.journal.WaitDurable(m.ctx) != nil {
		return
	}
	for _, witness := range notified {
		ctx, cancel := context.WithTimeout(m.ctx, witnessTimeout)
		err := m.cfg.Witnesses.Leave(ctx, witness, m.cfg.Holder, number)
		cancel()
		m.outageMode.mu.Lock()
		if err == nil && !m.outageMode.entered[witness] {
			delete(m.outageMode.notified, witness)
			klog.Infof("the table accepts journal entries again; left outage mode with witness %s", witness)
		}
		m.outageMode.mu.Unlock()
	}
}
