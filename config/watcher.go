package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/pause"
)

// Peer is another process that has configuration versions.
type Peer interface {
	Fetcher
	// Name identifies the peer in errors.
	Name() string
	// Offer notifies the peer that this process has a version. The message may
	// be lost.
	Offer(ctx context.Context, version Version) error
}

// Defaults of a Watcher. A version must be in force on every VM within 5 s. A VM
// that is partitioned from the table polls a peer at most one interval after that
// peer polled the table. With jitter this takes 2 x 1.5 s x 1.2, plus one call for
// each of the two polls.
const (
	DefaultInterval = 1500 * time.Millisecond
	DefaultTimeout  = time.Second
	intervalJitter  = 0.2
	// peerFanout is the maximum number of peers that one round polls or sends
	// offers to.
	peerFanout = 3
	// startupFanout replaces peerFanout for polls while no version is in force.
	// A new VM takes the highest version of many peers, since it cannot know how
	// far behind a single peer is.
	startupFanout = 16
)

// WatcherOptions configures a Watcher.
type WatcherOptions struct {
	// Table is the first source; a Store implements it.
	Table Fetcher
	// Peers returns the peers to poll when the table does not respond and to
	// notify of a new version. It may be nil.
	Peers func() []Peer
	// OnAdvance is called with each snapshot before the Holder publishes it, in the
	// order of the versions: what it prepares is there once a request sees the
	// snapshot. It must not block. It may be nil.
	OnAdvance func(*Snapshot)
	// Interval is the time between two polls of a source and Timeout limits one
	// call; 0 selects the default.
	Interval time.Duration
	Timeout  time.Duration
}

// Watcher publishes in its Holder the highest accepted version that it gets from
// the table or, if the table does not respond, from peers. It never returns to a
// lower version, whatever a source reports.
type Watcher struct {
	Holder   SnapshotHolder
	Counters WatcherCounters
	options  WatcherOptions

	run    context.Context // canceled by Stop
	stop   context.CancelFunc
	wg     sync.WaitGroup
	offers chan offer

	mu                sync.Mutex // guards the fields below and the order of advances
	state             State
	recent            []Step // the last steps up to state, to serve to peers
	fullStep          *Step  // step from 0 to state, packed on the first request
	resync            bool   // the next fetch requests the full document
	lastTableResponse time.Time
	failure           sourceFailure
}

type offer struct {
	version Version
	from    Fetcher
}

// sourceFailure holds the result of the last poll of each source, for Ready.
type sourceFailure struct{ table, peers error }

// NewWatcher returns a watcher that is idle until Start.
func NewWatcher(options WatcherOptions) *Watcher {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Peers == nil {
		options.Peers = func() []Peer { return nil }
	}
	w := &Watcher{options: options, offers: make(chan offer, peerFanout)}
	w.run, w.stop = context.WithCancel(context.Background())
	return w
}

// Start implements kernel.Starter.
func (w *Watcher) Start(context.Context) error {
	w.wg.Add(3)
	go w.loop(w.run, w.pollTable)
	go w.loop(w.run, w.pollPeers)
	go w.processOffers(w.run)
	return nil
}

// Stop implements kernel.Stopper.
func (w *Watcher) Stop() error {
	w.stop()
	w.wg.Wait()
	return nil
}

// loop polls immediately and then once per interval. The table and the peers have
// separate loops, so that a table that does not respond does not delay the polls of
// the peers.
func (w *Watcher) loop(ctx context.Context, poll func(context.Context)) {
	defer w.wg.Done()
	for {
		poll(ctx)
		spread := 1 + intervalJitter*(2*rand.Float64()-1)
		if pause.For(ctx, time.Duration(spread*float64(w.options.Interval))) != nil {
			return
		}
	}
}

func (w *Watcher) pollTable(ctx context.Context) {
	w.Counters.TablePolls.Add(1)
	head, err := w.head(ctx, w.options.Table)
	if err == nil {
		err = w.catchUp(ctx, w.options.Table, head.Version)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failure.table = err
	if err != nil {
		w.Counters.TableErrors.Add(1)
		return
	}
	w.lastTableResponse = time.Now()
	if head.Version < w.state.Version {
		// Offer the higher version to peers: a new VM that reads only this table
		// would otherwise stay below them.
		w.wg.Add(1)
		go w.sendOffers(w.run, w.state.Version)
	}
	if head.Version == 0 {
		w.failure.table = eris.New("holds no configuration yet: apply one")
	}
}

func (w *Watcher) head(ctx context.Context, from Fetcher) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.Timeout)
	defer cancel()
	return from.Head(ctx)
}

// catchUp fetches and applies the steps to version if it is above the one in force.
//
// A source that lags or was restored from an older copy reports a lower version.
// Adopting it would revert an accepted configuration, so it is counted and
// ignored.
func (w *Watcher) catchUp(ctx context.Context, from Fetcher, version Version) error {
	current, resync := w.currentVersion()
	if version < current {
		w.Counters.StaleHeads.Add(1)
	}
	if version <= current {
		return nil
	}
	if resync {
		current = 0
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeoutFactor*w.options.Timeout)
	defer cancel()
	steps, err := from.Since(ctx, current)
	if err != nil {
		return err
	}
	return w.advance(steps)
}

// fetchTimeoutFactor is the time limit of a fetch in multiples of the call timeout. A
// fetch takes several reads, some of them large.
const fetchTimeoutFactor = 3

func (w *Watcher) currentVersion() (Version, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Version, w.resync
}

// advance applies steps and publishes the resulting version. Steps to a version that
// is already in force, because another source was faster, change nothing.
func (w *Watcher) advance(steps []Step) error {
	if len(steps) == 0 {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	steps = skipAppliedSteps(steps, w.state.Version)
	if len(steps) == 0 {
		return nil
	}
	next, err := w.state.ApplySteps(steps)
	if err != nil {
		w.Counters.CorruptSteps.Add(1)
		w.resync = true
		return err
	}
	snapshot, err := Compile(next.Version, next.Document)
	if err != nil {
		w.Counters.CorruptSteps.Add(1)
		return eris.Wrapf(err, "compile version %d", next.Version)
	}
	klog.InfoS("configuration in force", "version", next.Version, "before", w.state.Version)
	w.state, w.fullStep, w.resync = next, nil, false
	w.keepRecentSteps(steps)
	if w.options.OnAdvance != nil {
		w.options.OnAdvance(snapshot)
	}
	w.Holder.Advance(snapshot)
	w.Counters.Advances.Add(1)
	w.Counters.Version.Set(int64(next.Version))
	w.wg.Add(1)
	go w.sendOffers(w.run, next.Version)
	return nil
}

// skipAppliedSteps returns steps without those up to version have. It returns nil if
// none of them is above have, and all steps if none starts at have.
func skipAppliedSteps(steps []Step, have Version) []Step {
	if steps[len(steps)-1].To <= have {
		return nil
	}
	for i, step := range steps {
		if step.From == have && have > 0 {
			return steps[i:]
		}
	}
	return steps
}

// Ready returns nil if a configuration is in force, or an error with the reasons
// why there is none.
func (w *Watcher) Ready() error {
	if w.Holder.Load() != nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Errorf("no configuration: table: %s; peers: %s", reason(w.failure.table), reason(w.failure.peers))
}

func reason(err error) string {
	if err == nil {
		return "not polled yet"
	}
	return err.Error()
}

// State returns the version in force with its image and its document.
func (w *Watcher) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}
