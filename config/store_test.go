package config

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/settings"
	"buckthornridge/store"
)

func newStore(fake *store.Fake, vm string) *Store { return NewStore(fake.As(vm).Table) }

// withShare returns a copy of doc with the share of one workspace changed.
func withShare(doc Document, workspace string, share float64) Document {
	copied := map[string]Workspace{}
	for name, w := range doc.Workspaces {
		if name == workspace {
			w.Share = share
		}
		copied[name] = w
	}
	doc.Workspaces = copied
	return doc
}

func minuteContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func TestApplyHistoryAndLoad(t *testing.T) {
	is := is.New(t)
	ctx := minuteContext(t)
	configs := newStore(store.NewFake(store.FakeOptions{}), "a")
	head, err := configs.Head(ctx)
	is.NoErr(err)
	is.Equal(head.Version, Version(0))
	docs := []Document{example(t, "lankawrap")}
	for i := 1; i < 5; i++ {
		docs = append(docs, withShare(docs[0], "studio-kandy", float64(10+i)))
	}
	for i, doc := range docs {
		version, err := configs.Apply(ctx, Version(i), doc, fmt.Sprint("id-", i), "ann")
		is.NoErr(err)
		is.Equal(version, Version(i+1))
	}
	same, err := configs.Apply(ctx, 5, docs[4], "id-same", "ann")
	is.NoErr(err)
	is.Equal(same, Version(5)) // nothing changed

	fresh := NewStore(configs.table)
	for i, doc := range docs {
		state, err := fresh.Load(ctx, Version(i+1))
		is.NoErr(err)
		is.True(reflect.DeepEqual(state.Document, doc))
	}
	records, err := fresh.History(ctx, 0, 3)
	is.NoErr(err)
	is.Equal(len(records), 3)
	is.Equal(records[0].Version, Version(5))
	is.Equal(records[0].Author, "ann")
	is.Equal(records[0].Changes, 1)
	records, err = fresh.History(ctx, 3, 10)
	is.NoErr(err)
	is.Equal(records[0].Version, Version(2))
	is.Equal(len(records), 2)
	_, err = fresh.Load(ctx, 9)
	is.True(errors.Is(err, ErrPruned))
}

func TestApplyRejectsInvalidDocument(t *testing.T) {
	is := is.New(t)
	fake := store.NewFake(store.FakeOptions{})
	doc := example(t, "lankawrap")
	doc.Fleet.Name = ""
	_, err := newStore(fake, "a").Apply(minuteContext(t), 0, doc, "id", "ann")
	var errs settings.Errors
	is.True(errors.As(err, &errs))
	is.Equal(len(fake.Dump("config/")), 0)
}

// Guards against a lost update. Two operators change version 1 and apply
// concurrently: the commit of ann arrives between ben's read of the head and ben's
// commit. ben must get a conflict that lists the other change; otherwise his folder
// would overwrite it unnoticed.
func TestConcurrentAppliesAcceptExactlyOne(t *testing.T) {
	is := is.New(t)
	ctx := minuteContext(t)
	fake := store.NewFake(store.FakeOptions{})
	doc := example(t, "lankawrap")
	ann, ben := newStore(fake, "a"), newStore(fake, "b")
	_, err := ann.Apply(ctx, 0, doc, "first", "ann")
	is.NoErr(err)
	applied := false
	fake.SetHooks(store.Hooks{Before: func(call store.Call) {
		if call.VM == "b" && call.Step == store.StepCommit && !applied {
			applied = true
			version, err := ann.Apply(ctx, 1, withShare(doc, "studio-kandy", 9), "anns", "ann")
			is.NoErr(err)
			is.Equal(version, Version(2))
		}
	}})
	_, err = ben.Apply(ctx, 1, withShare(doc, "studio-galle", 7), "bens", "ben")
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Head.Version, Version(2))
	is.True(conflict.BaseAvailable)
	is.Equal(len(conflict.AcceptedChanges.Changes), 1)
	is.Equal(conflict.AcceptedChanges.Changes[0].String(), "workspaces.studio-kandy")
	head, err := ben.Head(ctx)
	is.NoErr(err)
	is.Equal(head.Version, Version(2))
}

// Guards against an error, a duplicate version or a conflict with the operator's own
// change if the table commits an apply but its response is lost, once or several
// times, or if the commit arrives late.
func TestLostCommitResponseIsOneChange(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults store.Faults
	}{
		{"response lost", store.Faults{LoseNext: 1}},
		{"commit delayed until released", store.Faults{DelayNext: 1}},
		{"commit delayed by less than the backoff", store.Faults{DelayNext: 1, Delay: time.Millisecond}},
		{"commit delayed twice, response lost", store.Faults{DelayNext: 2, Delay: time.Second, LoseNext: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := minuteContext(t)
				fake := store.NewFake(store.FakeOptions{Faults: c.faults})
				configs := newStore(fake, "a")
				doc := example(t, "lankawrap")
				version, err := configs.Apply(ctx, 0, doc, "id", "ann")
				is.NoErr(err)
				is.Equal(version, Version(1))
				time.Sleep(5 * time.Second)
				fake.ReleaseDelayed()
				again, err := configs.Apply(ctx, 0, doc, "id", "ann")
				is.NoErr(err)
				is.Equal(again, Version(1))
				is.Equal(len(fake.Dump(versionPrefix)), 1)
				_, err = configs.Apply(ctx, 1, withShare(doc, "studio-kandy", 9), "id", "ann")
				is.True(errors.Is(err, ErrApplyIDReused))
			})
		})
	}
}

// Guards against reporting a failure when the outcome is unknown. The table becomes
// unavailable right after the commit was sent. An operator who gets an error would
// repeat a change that may have been made, so the outcome is unknown until it can be
// read back.
func TestApplyDuringOutageReportsUnknownOutcome(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake := store.NewFake(store.FakeOptions{Faults: store.Faults{LoseNext: 1}})
		fake.SetHooks(store.Hooks{After: func(call store.Call, _ error) {
			if call.Step == store.StepCommit {
				fake.UpdateFaults(func(f *store.Faults) { f.Down = true })
			}
		}})
		configs := newStore(fake, "a")
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := configs.Apply(ctx, 0, example(t, "lankawrap"), "id", "ann")
		is.True(errors.Is(err, store.ErrOutcomeUnknown))
		fake.SetFaults(store.Faults{})
		version, err := configs.Apply(minuteContext(t), 0, example(t, "lankawrap"), "id", "ann")
		is.NoErr(err)
		is.Equal(version, Version(1))

		fake.SetFaults(store.Faults{Down: true})
		late, cancel2 := context.WithTimeout(context.Background(), time.Second)
		defer cancel2()
		_, err = configs.Apply(late, 1, withShare(example(t, "lankawrap"), "studio-kandy", 9), "id2", "ann")
		is.True(errors.Is(err, store.ErrUnavailable))
		is.True(!errors.Is(err, store.ErrOutcomeUnknown))
	})
}

func TestCheckpointsAndPruning(t *testing.T) {
	is := is.New(t)
	ctx := minuteContext(t)
	fake := store.NewFake(store.FakeOptions{})
	configs := newStore(fake, "a")
	doc := example(t, "lankawrap")
	const gap = 16
	const versions = 2*gap + 4
	configs.checkpointGap = gap
	for i := range Version(versions) {
		_, err := configs.Apply(ctx, i, withShare(doc, "studio-kandy", float64(i+1)), fmt.Sprint(i), "ann")
		is.NoErr(err)
	}
	fresh := newStore(fake, "b")
	steps, err := fresh.Since(ctx, 0)
	is.NoErr(err)
	is.Equal(steps[0].To, Version(2*gap)) // the last checkpoint, followed by deltas
	is.Equal(len(steps), 5)
	steps, err = fresh.Since(ctx, versions-2)
	is.NoErr(err)
	is.Equal(len(steps), 2)

	is.NoErr(configs.Prune(ctx, gap))
	is.NoErr(newStore(fake, "c").Prune(ctx, gap)) // a second process
	is.Equal(len(fake.Dump(versionPrefix)), versions-gap+1)
	is.Equal(len(fake.Dump(applyPrefix)), versions-gap+1)
	fresh = newStore(fake, "d")
	_, err = fresh.Load(ctx, gap-1)
	is.True(errors.Is(err, ErrPruned))
	state, err := fresh.Load(ctx, gap+7)
	is.NoErr(err)
	is.Equal(state.Document.Workspaces["studio-kandy"].Share, float64(gap+7))
	steps, err = fresh.Since(ctx, 3) // the steps after 3 are pruned: starts at the full document
	is.NoErr(err)
	is.Equal(steps[0].From, Version(0))
	records, err := fresh.History(ctx, 0, 10_000)
	is.NoErr(err)
	is.Equal(records[len(records)-1].Version, Version(gap))
}

func TestLargeDocumentIsSplitIntoRows(t *testing.T) {
	is := is.New(t)
	ctx := minuteContext(t)
	fake := store.NewFake(store.FakeOptions{})
	doc := withWorkspaces(example(t, "lankawrap"), 600)
	_, err := newStore(fake, "a").Apply(ctx, 0, doc, "id", "ann")
	is.NoErr(err)
	is.True(len(fake.Dump(partPrefix)) > 0)
	state, err := newStore(fake, "b").Load(ctx, 1)
	is.NoErr(err)
	is.True(reflect.DeepEqual(state.Document, doc))
}

func TestTooLargeDocumentIsRejected(t *testing.T) {
	is := is.New(t)
	fake := store.NewFake(store.FakeOptions{})
	configs := newStore(fake, "a")
	configs.maxDocumentBytes = 4_000
	_, err := configs.Apply(minuteContext(t), 0, withWorkspaces(example(t, "lankawrap"), 10), "a", "ann") // more than 4 KB of JSON, but less when packed
	is.NoErr(err)
	_, err = configs.Apply(minuteContext(t), 1, withWorkspaces(example(t, "lankawrap"), 100), "b", "ann")
	is.True(errors.Is(err, store.ErrTooLarge))
	is.Equal(len(fake.Dump(versionPrefix)), 1)
}

// Guards against returning a cached state of another history. The table was restored
// from an older copy, and other versions were accepted since with version numbers
// that this process has cached.
func TestLoadIgnoresCachedVersionOfAnotherHistory(t *testing.T) {
	is := is.New(t)
	ctx := minuteContext(t)
	fake := store.NewFake(store.FakeOptions{})
	configs, other := newStore(fake, "a"), newStore(fake, "b")
	doc := example(t, "lankawrap")
	_, err := configs.Apply(ctx, 0, doc, "1", "ann")
	is.NoErr(err)
	old := fake.Dump("config/")
	_, err = configs.Apply(ctx, 1, withShare(doc, "studio-kandy", 7), "2", "ann")
	is.NoErr(err)
	restore(t, fake, old)
	for _, row := range fake.Dump(versionKey(2)) {
		_, err = fake.As("restore").Table.Commit(ctx, store.Txn{Writes: []store.Write{{Key: row.Key, Delete: true}}})
		is.NoErr(err)
	}
	_, err = other.Apply(ctx, 1, withShare(doc, "studio-kandy", 8), "3", "ben")
	is.NoErr(err)
	state, err := configs.Load(ctx, 2)
	is.NoErr(err)
	is.Equal(state.Document.Workspaces["studio-kandy"].Share, 8.0)
}

func TestBlobsOfManyParts(t *testing.T) {
	is := is.New(t)
	ctx := minuteContext(t)
	configs := newStore(store.NewFake(store.FakeOptions{}), "a")
	for _, size := range []int{0, maxInlineBytes, maxInlineBytes + 1, 2 * partBytes, maxBlobBytes} {
		data := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		name := fmt.Sprint("blob", size)
		b, writes := splitBlob(name, data)
		if len(writes) > 0 {
			_, err := configs.table.Commit(ctx, store.Txn{Writes: writes})
			is.NoErr(err)
		}
		got, err := configs.readBlob(ctx, name, b)
		is.NoErr(err)
		is.True(bytes.Equal(got, data))
	}
	b, _ := splitBlob("lost", make([]byte, 2*partBytes))
	_, err := configs.readBlob(ctx, "lost", b)
	is.True(errors.Is(err, ErrPruned))
}

// Guards against lost and duplicate changes. Four operators repeatedly increment one
// number while responses of the table are lost and commits arrive late. Each reads the
// accepted version, adds one and applies; after an unknown outcome it retries with the
// same id. In the end the number must equal the number of accepted applies.
func TestNoChangeIsLostOrDuplicatedUnderFaults(t *testing.T) {
	for seed := range uint64(2) {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			faults := store.Faults{Latency: 4 * time.Millisecond, LoseRate: 0.2, DelayRate: 0.2, Delay: 300 * time.Millisecond}
			fake := store.NewFake(store.FakeOptions{Seed: seed})
			ctx := t.Context()
			_, err := newStore(fake, "first").Apply(ctx, 0, withShare(example(t, "lankawrap"), "studio-kandy", 0), "first", "ann")
			is.NoErr(err)
			fake.SetFaults(faults)
			var accepted, conflicts atomic.Int64
			var wg sync.WaitGroup
			for operator := range 4 {
				wg.Go(func() {
					for i := range 4 {
						incrementShare(ctx, t, newStore(fake, "op"), fmt.Sprint(operator, "-", i), &accepted, &conflicts)
					}
				})
			}
			wg.Wait()
			fake.SetFaults(store.Faults{})
			time.Sleep(time.Minute)
			configs := newStore(fake, "reader")
			head, err := configs.Head(ctx)
			is.NoErr(err)
			state, err := configs.Load(ctx, head.Version)
			is.NoErr(err)
			is.Equal(accepted.Load(), int64(16))
			is.True(conflicts.Load() > 0)
			is.Equal(head.Version, Version(17))
			is.Equal(state.Document.Workspaces["studio-kandy"].Share, 16.0)
		})
	}
}

// maxTries limits the attempts of an operator, so that a bug causes a failure and not
// a test that never ends.
const maxTries = 300

// incrementShare adds one to the number and retries after each conflict.
func incrementShare(ctx context.Context, t *testing.T, configs *Store, id string, accepted, conflicts *atomic.Int64) {
	tries := 0
	for {
		head, err := configs.Head(ctx)
		if err != nil {
			t.Error(err)
			return
		}
		state, err := configs.Load(ctx, head.Version)
		if err != nil {
			t.Error(err)
			return
		}
		next := withShare(state.Document, "studio-kandy", state.Document.Workspaces["studio-kandy"].Share+1)
		for {
			short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			_, err = configs.Apply(short, head.Version, next, id, "operator")
			cancel()
			if !retryable(err) {
				break
			}
			if tries++; tries > maxTries {
				t.Errorf("apply %s did not complete: %v", id, err)
				return
			}
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			conflicts.Add(1)
			continue
		}
		if err != nil {
			t.Error(err)
		}
		accepted.Add(1)
		return
	}
}
