package edge

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/pause"
	"buckthornridge/store"
	"buckthornridge/store/mirror"
)

// Timing of following a segment of the table.
const (
	// feedShare is the part of the allowed activation time of a change for which one
	// poll of the feed stays open. A feed can stall without a reset. That is detected
	// after the wait and its slack, which leaves time for the next poll and for peers.
	feedShare = 0.25
	// minFeedWait and maxFeedWait bound the wait: each poll is a call to the table, and
	// an old configuration must not stay active for long whatever the operators allow.
	minFeedWait    = 250 * time.Millisecond
	maxFeedWait    = time.Second
	feedSlack      = 250 * time.Millisecond
	feedRetryDelay = 100 * time.Millisecond
	// feedTransfer bounds the transfer of a response. A configuration of over a thousand
	// routes is 300 KB, which takes most of a second on a busy link of 10 Mbit/s; if
	// each transfer were cut off, it would never arrive.
	feedTransfer = 2 * time.Second
	// peerInterval is the time between two polls of peers while the table does not
	// answer.
	peerInterval = 150 * time.Millisecond
	peerTimeout  = 800 * time.Millisecond
	// quarantinePeerInterval is the same for the records of crashes, which are acted on
	// after a second.
	quarantinePeerInterval = 500 * time.Millisecond
	// peerPollDelay is how long, beyond the feed's wait, the table must not have
	// answered before peers are polled.
	peerPollDelay = 250 * time.Millisecond
)

// feedWaitOf returns how long a poll of the feed stays open, given the time in which a
// change must be active.
func feedWaitOf(inForce time.Duration) time.Duration {
	return min(max(time.Duration(feedShare*float64(inForce)), minFeedWait), maxFeedWait)
}

// follower keeps one mirror up to date.
type follower struct {
	wait time.Duration // how long one poll stays open
	// longWait is the same while a peer would tell of a change; 0 for never.
	longWait time.Duration
	// comparedAt is when a peer last told its version.
	comparedAt atomicTime
	segment    string
	feed       store.Feed
	mirror     *mirror.Mirror
	// apply gets the changes of the mirror.
	apply func(changes []store.Change)
	// enterEra, if set, is called before the first changes after a return of the table from
	// an older copy.
	enterEra func()
	// lastAnswer is when an answer of the table was last applied. Refusals are none.
	lastAnswer atomicTime
	// asOf is when that answer was asked for: what changed in the table since may be missing.
	asOf atomicTime
	// transferring is when the answer that is arriving began to; unset if none is.
	transferring atomicTime

	// applyMu keeps changes in the order in which the mirror took them: the table and
	// peers report concurrently, and an older row that is applied last would stay.
	applyMu sync.Mutex
}

// currentWait returns how long a poll stays open now.
func (f *follower) currentWait() time.Duration {
	if age, known := f.comparedAt.elapsed(); f.longWait > 0 && known && age < versionTTL {
		return f.longWait
	}
	return f.wait
}

// sinceAnswer returns the time since the table last answered, and false if it never did. A
// long answer that is arriving counts.
func (f *follower) sinceAnswer() (time.Duration, bool) {
	age, known := f.lastAnswer.elapsed()
	if arriving, any := f.transferring.elapsed(); any && (!known || arriving < age) {
		return arriving, true
	}
	return age, known
}

// run follows the table until the context ends.
func (f *follower) run(ctx context.Context) {
	readAll := true
	for ctx.Err() == nil {
		var asked atomicTime
		asked.set()
		update, err := f.poll(ctx, readAll)
		f.transferring.unset()
		switch {
		case errors.Is(err, store.ErrHistoryLost):
			readAll = true
			continue
		case err != nil:
			if ctx.Err() == nil {
				klog.V(1).Infof("step=follow segment=%s result=failed err=%q", f.segment, err.Error())
			}
			_ = pause.For(ctx, feedRetryDelay)
			continue
		}
		if update.Full && update.Version < f.mirror.Version() {
			f.lastAnswer.set()
			klog.V(1).Infof("step=follow segment=%s result=stale version=%d known=%d", f.segment, update.Version, f.mirror.Version())
			_ = pause.For(ctx, feedRetryDelay) // the mirror is newer
			continue
		}
		readAll = false
		f.applyUpdate(update)
		f.lastAnswer.set()
		f.asOf.copyFrom(&asked)
	}
}

func (f *follower) poll(ctx context.Context, whole bool) (mirror.Update, error) {
	wait := f.currentWait()
	ctx, cancel := f.withResponseTimeout(ctx, wait)
	defer cancel()
	if whole {
		all, err := f.feed.All(ctx, f.segment)
		return mirror.Update{Changes: all.Changes, Version: all.Version, Full: true}, err
	}
	changes, err := f.feed.Since(ctx, f.segment, f.mirror.Version(), wait)
	return mirror.Update{Changes: changes.Changes, Version: changes.Version}, err
}

// withResponseTimeout returns a context for one poll. It ends if no response has begun
// within the wait and its slack, or if the transfer takes too long.
func (f *follower) withResponseTimeout(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, wait+feedSlack+feedTransfer)
	timer := time.AfterFunc(wait+feedSlack, cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { timer.Reset(wait + feedSlack) },
		GotFirstResponseByte: func() {
			timer.Stop()
			f.transferring.set() // peers need not be polled meanwhile
		},
	})
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

func (f *follower) applyUpdate(u mirror.Update) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if known := f.mirror.Version(); known > 0 && store.EraOf(u.Version) > store.EraOf(known) {
		klog.Infof("step=follow segment=%s era=%d before=%d", f.segment, store.EraOf(u.Version), store.EraOf(known))
		if f.enterEra != nil {
			f.enterEra()
		}
	}
	if changes := f.mirror.Apply(u); len(changes) > 0 {
		f.apply(changes)
	}
}
