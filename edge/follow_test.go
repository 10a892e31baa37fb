package edge

import (
	"context"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/store"
	"buckthornridge/store/mirror"
)

// scriptedFeed returns one result after the other, then blocks.
type scriptedFeed struct {
	answers []any // store.Changes or error
	asked   []string
}

func (f *scriptedFeed) next(ctx context.Context, what string) (store.Changes, error) {
	f.asked = append(f.asked, what)
	if len(f.answers) == 0 {
		<-ctx.Done()
		return store.Changes{}, store.CallError("feed", "table", store.ErrUnavailable, ctx.Err())
	}
	answer := f.answers[0]
	f.answers = f.answers[1:]
	if err, failed := answer.(error); failed {
		return store.Changes{}, err
	}
	return answer.(store.Changes), nil
}

// All implements store.Feed.
func (f *scriptedFeed) All(ctx context.Context, _ string) (store.Changes, error) {
	return f.next(ctx, "all")
}

// Since implements store.Feed.
func (f *scriptedFeed) Since(ctx context.Context, _ string, _ int64, _ time.Duration) (store.Changes, error) {
	return f.next(ctx, "since")
}

func changesAt(version int64, keys ...string) store.Changes {
	c := store.Changes{Version: version}
	for _, key := range keys {
		c.Changes = append(c.Changes, store.Change{Row: store.Row{Key: key, Version: version}})
	}
	return c
}

// Guards against losing a deletion. The table drops its history while a server leaves,
// and the first reads afterwards are stale. The follower takes nothing older than its
// mirror and reads on until it sees the server deleted.
func TestHistoryLostAndStaleReads(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		var seen []store.Change
		feed := &scriptedFeed{answers: []any{
			changesAt(5, "a", "b"),
			changesAt(8, "c"),
			store.CallError("feed", "table", store.ErrHistoryLost, nil),
			changesAt(5, "a", "b"), // stale
			store.CallError("feed", "table", store.ErrUnavailable, nil),
			changesAt(12, "b", "c"),
		}}
		f := &follower{wait: 500 * time.Millisecond, segment: "s", feed: feed, mirror: mirror.New(), apply: func(c []store.Change) { seen = append(seen, c...) }}
		ctx, cancel := context.WithCancel(t.Context())
		go f.run(ctx)
		time.Sleep(feedRetryDelay * 5)
		cancel()
		synctest.Wait()
		is.Equal(f.mirror.Version(), int64(12))
		last := map[string]bool{}
		for _, change := range seen {
			last[change.Key] = change.Deleted
		}
		is.True(last["a"])
		is.True(!last["b"] && !last["c"])
	})
}

// slowFeed is a feed whose responses begin at once and take long to transfer.
type slowFeed struct{ takes time.Duration }

func (f slowFeed) All(ctx context.Context, _ string) (store.Changes, error) {
	httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
	select {
	case <-time.After(f.takes):
		return changesAt(5, "a"), nil
	case <-ctx.Done():
		return store.Changes{}, store.CallError("feed", "table", store.ErrUnavailable, ctx.Err())
	}
}

func (f slowFeed) Since(ctx context.Context, segment string, _ int64, _ time.Duration) (store.Changes, error) {
	return f.All(ctx, segment)
}

// Guards against a configuration that never arrives. With a thousand more routes it
// takes over a second on a busy link of 10 Mbit/s. If that were treated like silence,
// the VM would start each transfer anew and keep the previous configuration.
func TestReadsALargeConfigurationOverASlowLink(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &follower{wait: 500 * time.Millisecond, feed: slowFeed{1500 * time.Millisecond}, mirror: mirror.New(), apply: func([]store.Change) {}}
		ctx, cancel := context.WithCancel(t.Context())
		go f.run(ctx)
		time.Sleep(2 * time.Second)
		is.Equal(f.mirror.Version(), int64(5))
		cancel()
		synctest.Wait()
	})
}

// Guards against an older row that is applied last: the table reports that a server
// leaves while an older update of a peer is still being applied.
func TestChangesAreAppliedInOrder(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	var applied []int64
	f := &follower{mirror: mirror.New()}
	f.apply = func(c []store.Change) {
		if c[0].Version == 1 {
			close(entered)
			<-release
		}
		applied = append(applied, c[0].Version)
	}
	done := make(chan struct{})
	take := func(version int64) {
		f.applyUpdate(mirror.Update{Changes: changesAt(version, "a").Changes, Version: version})
		done <- struct{}{}
	}
	go take(1)
	<-entered
	go take(2)
	time.Sleep(time.Millisecond) // lets the second one reach the lock, or pass it if there is none
	close(release)
	<-done
	<-done
	is.Equal(applied, []int64{1, 2})
}

// A feed that stalls without a reset is detected and polled again before a change must
// be active. If the operators allow more time, there are fewer polls.
func TestFeedWaitFollowsTheActivationTime(t *testing.T) {
	is := is.New(t)
	for _, inForce := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 10 * time.Second} {
		is.True(2*(feedWaitOf(inForce)+feedSlack) <= max(inForce, time.Second))
	}
	is.Equal(feedWaitOf(2*time.Second), 500*time.Millisecond)
	is.Equal(feedWaitOf(3*time.Second), 750*time.Millisecond)
}

// refusingFeed answers each call at once with a refusal.
type refusingFeed struct{}

func (refusingFeed) All(ctx context.Context, _ string) (store.Changes, error) {
	httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
	return store.Changes{}, store.CallError("feed", "table", store.ErrUnavailable, nil)
}

func (f refusingFeed) Since(ctx context.Context, segment string, _ int64, _ time.Duration) (store.Changes, error) {
	return f.All(ctx, segment)
}

// Guards against a VM that the table turns away and that takes its own list for current, and
// does not ask its peers.
func TestRefusalsOfTheTableAreNoAnswers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Process{upstreams: &follower{wait: 500 * time.Millisecond, feed: refusingFeed{}, mirror: mirror.New(), apply: func([]store.Change) {}}}
		p.upstreams.lastAnswer.set()
		p.upstreams.asOf.set()
		ctx, cancel := context.WithCancel(t.Context())
		go p.upstreams.run(ctx)
		time.Sleep(3 * time.Second)
		is.True(!p.listIsCurrent())
		_, stale := p.listStaleSince()
		is.True(stale)
		cancel()
		synctest.Wait()
	})
}

// Guards against an answer that is taken for current though it was asked for long ago.
func TestAnswerIsAsOldAsItsQuestion(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &Process{upstreams: &follower{wait: 500 * time.Millisecond, feed: slowFeed{1900 * time.Millisecond}, mirror: mirror.New(), apply: func([]store.Change) {}}}
		ctx, cancel := context.WithCancel(t.Context())
		go p.upstreams.run(ctx)
		time.Sleep(2 * time.Second)
		is.Equal(p.upstreams.mirror.Version(), int64(5))
		is.True(!p.listIsCurrent())
		cancel()
		synctest.Wait()
	})
}
