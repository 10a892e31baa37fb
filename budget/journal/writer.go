package journal

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/budget/ledger"
	"buckthornridge/pause"
	"buckthornridge/store"
)

// Timing of group commits.
const (
	// DefaultInterval is the default minimum time between two group commits.
	DefaultInterval = 40 * time.Millisecond
	// maxInterval bounds the interval while the table refuses commits.
	maxInterval = time.Second
	// lazyDelay bounds how long a lazy entry waits to share a group commit.
	lazyDelay = 100 * time.Millisecond
)

// PendingEntry is an entry that is queued or in flight to the table.
type PendingEntry struct {
	entry  Entry
	taken  bool // is part of the batch in flight
	lazy   bool // nothing waits for it
	notify func()
	done   chan struct{}
	err    error // valid once done is closed
}

// Entry returns the entry, to be copied to another router.
func (i *PendingEntry) Entry() Entry { return i.entry }

// Done is closed when the entry is durable, removed, or will never be durable; see
// Err.
func (i *PendingEntry) Done() <-chan struct{} { return i.done }

// Err returns the reason why the entry will never be durable, or nil. It is valid
// after Done is closed.
func (i *PendingEntry) Err() error { return i.err }

// Writer appends to the journal of one holder. One batch is in flight at a time;
// entries that are added in the meantime share the next one.
type Writer struct {
	table    store.Table
	holder   string
	interval time.Duration
	nonce    string

	version    atomic.Int64 // of the liveness row; 0 until the journal exists
	sealed     atomic.Bool
	wakeup     chan struct{}
	ready      chan struct{} // closed when the journal exists
	sealNotify chan struct{} // closed when the journal is sealed

	mu            sync.Mutex
	queue         []*PendingEntry
	inFlight      []*PendingEntry
	inFlightSince time.Time // when the batch in flight was first sent
	adopted       []adoption
	idle          chan struct{} // closed when nothing is pending; nil if nothing waits for that
	next          uint64        // sequence number of the next segment
	nextAdoption  uint64
	// lazyArmed is set while a timer is due to start a group commit.
	lazyArmed bool
}

type adoption struct {
	key   string
	value []byte
}

// NewWriter returns a writer for a holder's journal. Interval 0 means
// DefaultInterval. Nothing is written until Run is called.
func NewWriter(table store.Table, holder string, interval time.Duration) *Writer {
	if interval <= 0 {
		interval = DefaultInterval
	}
	return &Writer{
		table: ledger.WithTimeout(table), holder: holder, interval: interval, nonce: rand.Text(),
		wakeup: make(chan struct{}, 1), ready: make(chan struct{}), sealNotify: make(chan struct{}),
	}
}

// Holder returns the name of the journal's holder.
func (w *Writer) Holder() string { return w.holder }

// Alive reports whether the journal exists and is not known to be sealed.
func (w *Writer) Alive() bool { return w.version.Load() != 0 && !w.sealed.Load() }

// Sealed reports whether the journal is known to be sealed.
func (w *Writer) Sealed() bool { return w.sealed.Load() }

// Ready is closed once the journal exists.
func (w *Writer) Ready() <-chan struct{} { return w.ready }

// SealNotify is closed once the journal is known to be sealed.
func (w *Writer) SealNotify() <-chan struct{} { return w.sealNotify }

// Condition returns the condition, for any transaction of this holder, that its
// journal is not sealed. Without it a paused holder that was declared gone and
// resumes could take new grants that are never reclaimed.
func (w *Writer) Condition() store.Condition {
	return store.Condition{Key: ledger.LivenessKey(w.holder), Version: w.version.Load()}
}

// Add queues an entry for the next group commit. notify, if not nil, runs once
// the entry is durable, before Done is closed.
func (w *Writer) Add(e Entry, notify func()) *PendingEntry {
	return w.add(&PendingEntry{entry: e, notify: notify, done: make(chan struct{})})
}

// AddLazy queues an entry that nothing waits for: it joins the next group commit
// and triggers one only after lazyDelay. An opening entry whose request is covered
// by the exposure is queued like this.
func (w *Writer) AddLazy(e Entry, notify func()) *PendingEntry {
	return w.add(&PendingEntry{entry: e, notify: notify, done: make(chan struct{}), lazy: true})
}

func (w *Writer) add(item *PendingEntry) *PendingEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sealed.Load() {
		item.err = ErrSealed
		close(item.done)
		return item
	}
	w.queue = append(w.queue, item)
	w.schedule(item.lazy)
	return item
}

// schedule triggers a group commit, at once or, if lazy, after lazyDelay. The
// caller holds w.mu.
func (w *Writer) schedule(lazy bool) {
	if !lazy {
		w.wake()
		return
	}
	if !w.lazyArmed {
		w.lazyArmed = true
		time.AfterFunc(lazyDelay, w.wake)
	}
}

// scheduleRest schedules a group commit for the entries that the last batch left in
// the queue. The caller holds w.mu.
func (w *Writer) scheduleRest() {
	lazy := len(w.adopted) == 0
	for _, item := range w.queue {
		lazy = lazy && item.lazy
	}
	w.schedule(lazy)
}

// Replace replaces an entry that is not in flight yet, so that a request that opens
// and closes between two commits needs only one entry. It reports whether it did.
func (w *Writer) Replace(item *PendingEntry, e Entry, notify func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if item.taken || w.sealed.Load() {
		return false
	}
	item.entry, item.notify = e, notify
	item.lazy = item.lazy && e.Kind == KindOpen
	w.schedule(item.lazy)
	return true
}

// Remove removes an entry that is not in flight yet. It reports whether it did.
func (w *Writer) Remove(item *PendingEntry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if item.taken || w.sealed.Load() {
		return false
	}
	for at, queued := range w.queue {
		if queued == item {
			w.queue = slices.Delete(w.queue, at, at+1)
			close(item.done) // nothing needs to be written any more
			return true
		}
	}
	return false
}

// PendingCount returns the number of entries that are not durable yet.
func (w *Writer) PendingCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) + len(w.inFlight)
}

// Pending returns the bills and losses that are not durable yet, oldest first. A
// router that must stop while the table is down hands them over to another one,
// whose writer adopts them.
func (w *Writer) Pending() []Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []Entry
	for _, items := range [][]*PendingEntry{w.inFlight, w.queue} {
		for _, item := range items {
			if item.entry.Kind != KindOpen {
				entries = append(entries, item.entry)
			}
		}
	}
	return entries
}

// Adopt takes over entries of another holder that stops. They are written as soon
// as the table answers, and folded once that holder's journal is sealed and its
// grants are reclaimed. Adopting the same entries twice, by one router or two, is
// harmless: a request is billed once.
func (w *Writer) Adopt(holder string, entries []Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(entries) > 0 {
		count := prefix(entries, func(e Entry) Entry { return e })
		value := ledger.Encode(Segment{Entries: entries[:count]})
		w.adopted = append(w.adopted, adoption{ledger.AdoptedKey(holder, w.holder, w.nextAdoption), value})
		w.nextAdoption++
		entries = entries[count:]
	}
	w.wake()
}

// Stuck reports whether the batch in flight has waited for the table for longer
// than limit, so that callers can skip their own wait.
func (w *Writer) Stuck(limit time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.inFlight) > 0 && time.Since(w.inFlightSince) > limit
}

// WaitDurable waits until every entry that was added before the call is durable or
// removed, the journal is sealed, or ctx ends. It does not wait for adopted bills.
func (w *Writer) WaitDurable(ctx context.Context) error {
	w.mu.Lock()
	pending := slices.Concat(w.inFlight, w.queue)
	w.wake()
	w.mu.Unlock()
	for _, item := range pending {
		select {
		case <-item.Done():
			if item.Err() != nil {
				return item.Err()
			}
		case <-w.sealNotify:
			return ErrSealed
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "journal of %s", w.holder)
		}
	}
	return nil
}

// Flush waits until nothing is pending, including adopted bills, the journal is
// sealed, or ctx ends.
func (w *Writer) Flush(ctx context.Context) error {
	for {
		w.mu.Lock()
		empty := w.empty()
		if w.idle == nil {
			w.idle = make(chan struct{})
		}
		idle := w.idle
		w.mu.Unlock()
		if empty {
			return nil
		}
		w.wake()
		select {
		case <-idle:
		case <-w.sealNotify:
			return ErrSealed
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "flush journal of %s", w.holder)
		}
	}
}

func (w *Writer) empty() bool {
	return len(w.queue) == 0 && len(w.inFlight) == 0 && len(w.adopted) == 0
}

func (w *Writer) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Run creates the journal and writes batches until ctx ends or the journal is
// sealed, which it returns as ErrSealed.
func (w *Writer) Run(ctx context.Context) error {
	if err := w.create(ctx); err != nil {
		return w.finishRun(err)
	}
	interval := w.interval
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wakeup:
		}
		started := time.Now()
		refusals, err := w.writeAll(ctx)
		if err != nil {
			return w.finishRun(err)
		}
		interval = w.nextInterval(interval, refusals)
		if err := pause.For(ctx, interval-time.Since(started)); err != nil {
			return err
		}
	}
}

// nextInterval doubles the interval of group commits while the table refuses them
// for their rate, and reduces it gradually after that.
func (w *Writer) nextInterval(interval time.Duration, refusals int) time.Duration {
	if refusals > 0 {
		return min(2*interval, maxInterval)
	}
	return max(interval*3/4, w.interval)
}

func (w *Writer) finishRun(err error) error {
	if !errors.Is(err, ErrSealed) && !errors.Is(err, ErrTaken) {
		return err
	}
	w.MarkSealed(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	failAll(w.inFlight)
	w.inFlight = nil
	return err
}

// MarkSealed stops the writer after its liveness row was found changed or was
// deleted: entries that were not sent will never be durable. The batch in flight
// may have been committed before the seal; only Run, which sent it, can tell.
func (w *Writer) MarkSealed(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sealed.Swap(true) {
		return
	}
	klog.InfoS("journal sealed", "holder", w.holder, "pending", len(w.queue)+len(w.inFlight), "cause", cause)
	failAll(w.queue)
	w.queue = nil
	close(w.sealNotify)
}

func failAll(items []*PendingEntry) {
	for _, item := range items {
		item.err = ErrSealed
		close(item.done)
	}
}
