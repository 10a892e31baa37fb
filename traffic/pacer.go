package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Transfer is a number of bytes that are to cross a link in one direction.
type Transfer struct {
	// Class orders transfers; 0 goes first.
	Class int
	// Flow is whom the transfer is for. Flows of one class get equal shares of the link.
	Flow string
	// Deadline is when the transfer is of no use any more; zero for never.
	Deadline time.Time
	Bytes    int64
}

// ErrTooLate reports that a transfer can't begin before its deadline.
var ErrTooLate = eris.New("traffic: the link has no room before the deadline")

// Shares and times of a pacer.
const (
	// pacedShare is the part of a link's rate that is given out; the rest keeps the queue of
	// the link itself short.
	pacedShare = 0.9
	// minPacedShare remains for paced transfers whatever the rest of the traffic takes.
	minPacedShare = 0.3
	// burstTime is how much of its rate an idle pacer gives out at once.
	burstTime = 50 * time.Millisecond
	// flowMemory is the time constant with which a flow's share is forgotten.
	flowMemory = time.Second
)

// Pacer gives out the capacity of one direction of a link: to the most urgent class first,
// within a class to the flow that got least, within a flow to the earliest deadline. What
// is not paced, such as calls to the table, goes ahead of all of it: its measured rate is
// taken off. A nil Pacer lets everything pass. It is safe for concurrent use.
type Pacer struct {
	mu     sync.Mutex
	order  transferQueue
	timer  *time.Timer
	passed map[int]int64 // transfers by class
	late   int64
}

// NewPacer returns a pacer for a link's rate in Mbit/s, or nil if the rate is not known.
func NewPacer(mbit float64) *Pacer {
	if mbit <= 0 {
		return nil
	}
	return &Pacer{order: newTransferQueue(mbit*1e6/8, time.Now()), passed: map[int]int64{}}
}

// SetUnpaced tells the rate of the traffic that does not ask, in bytes a second.
func (p *Pacer) SetUnpaced(rate float64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.order.setUnpaced(rate, time.Now())
}

// Acquire waits until the transfer may begin. The error is ErrTooLate or the context's.
func (p *Pacer) Acquire(ctx context.Context, t Transfer) error {
	if p == nil || t.Bytes <= 0 {
		return nil
	}
	waiting := &queuedTransfer{Transfer: t, begin: make(chan error, 1)}
	p.mu.Lock()
	p.order.add(waiting)
	p.dispatch()
	p.mu.Unlock()
	select {
	case err := <-waiting.begin:
		return err
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		p.order.remove(waiting)
		return ctx.Err()
	}
}

// dispatch begins all transfers that may begin by now, and sets the timer for the next one. The
// caller holds p.mu.
func (p *Pacer) dispatch() {
	now := time.Now()
	begun, late := p.order.take(now)
	for _, t := range begun {
		p.passed[t.Class]++
		t.begin <- nil
	}
	for _, t := range late {
		p.late++
		t.begin <- ErrTooLate
	}
	wait, any := p.order.untilNext(now)
	if !any {
		return
	}
	if p.timer == nil {
		p.timer = time.AfterFunc(wait, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.dispatch()
		})
		return
	}
	p.timer.Reset(wait)
}

// PacerStats are counts since the start.
type PacerStats struct {
	Passed  map[int]int64 // transfers by class
	Late    int64         // transfers that could not begin in time
	Waiting int
}

// Stats returns the current counts.
func (p *Pacer) Stats() PacerStats {
	if p == nil {
		return PacerStats{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PacerStats{Passed: make(map[int]int64, len(p.passed)), Late: p.late, Waiting: len(p.order.waiting)}
	for class, n := range p.passed {
		s.Passed[class] = n
	}
	return s
}
