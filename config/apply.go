package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/pause"
	"buckthornridge/store"
)

// ErrApplyIDReused reports an apply id that was used for another document.
var ErrApplyIDReused = eris.New("config: apply id was used for another document")

// Backoff between attempts of an apply. The jitter is at most the backoff itself.
const (
	minApplyBackoff = 50 * time.Millisecond
	maxApplyBackoff = 2 * time.Second
)

// A checkpoint is written when the deltas since the last one are at least as large as
// the packed document, which at most doubles the bytes written, or when
// maxCheckpointGap versions were accepted since. Below minCheckpointBytes the size
// is not compared.
const (
	minCheckpointBytes = 64 << 10
	maxCheckpointGap   = 256
)

// maxApplyIDBytes keeps the key of an apply's row below the table's limit.
const maxApplyIDBytes = 128

// Apply accepts doc as the version after base, in one transaction with the
// condition that base is still the head. It is idempotent: a second call with the
// same applyID returns the version that the first one created. A document equal to
// that of base changes nothing, and Apply returns base.
//
// It returns settings.Errors for a document that fails the checks, *ConflictError
// if another change was accepted first, ErrApplyIDReused, store.ErrUnavailable
// if nothing was changed, and store.ErrOutcomeUnknown if ctx ended before the
// outcome was known. After the last one the caller should apply again with the
// same id.
func (s *Store) Apply(ctx context.Context, base Version, doc Document, applyID, author string) (Version, error) {
	if applyID == "" || len(applyID) > maxApplyIDBytes {
		return 0, eris.Errorf("config: apply id must have 1 to %d bytes", maxApplyIDBytes)
	}
	if errs := Check(doc, nil); len(errs) > 0 {
		return 0, errs
	}
	image, err := NewImage(doc)
	if err != nil {
		return 0, err
	}
	a := applier{Store: s, base: base, doc: doc, image: image, digest: image.Digest(), applyID: applyID, author: author}
	return a.run(ctx)
}

// applier holds the state of one call of Apply.
type applier struct {
	*Store
	base    Version
	doc     Document
	image   Image
	digest  string
	applyID string
	author  string
}

// run retries until the outcome is known or ctx ends.
//
// A response that is lost after the commit appears as ErrOutcomeUnknown. The next
// attempt first reads the row of this apply: if it exists, the change was made. If
// not, the commit is sent again with the same condition on the head row, so that
// at most one of a delayed commit and its retry can succeed.
func (a *applier) run(ctx context.Context) (Version, error) {
	unknown := false
	for backoff := minApplyBackoff; ; backoff = min(2*backoff, maxApplyBackoff) {
		version, err := a.attempt(ctx)
		unknown = unknown || errors.Is(err, store.ErrOutcomeUnknown)
		if err == nil || !retryable(err) {
			return version, err
		}
		if pause.For(ctx, backoff+rand.N(backoff)) != nil {
			if unknown && !errors.Is(err, store.ErrOutcomeUnknown) {
				err = store.CallError("apply", "table", store.ErrOutcomeUnknown, err)
			}
			return 0, err
		}
	}
}

func retryable(err error) bool {
	return errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrRateLimited) ||
		errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrConditionFailed)
}

func (a *applier) attempt(ctx context.Context) (Version, error) {
	rows, err := a.table.Read(ctx, headKey, applyKey(a.applyID))
	if err != nil {
		return 0, eris.Wrap(err, "read config head")
	}
	var head headRow
	var done applyRow
	if err := errors.Join(decodeRow(rows[0], &head), decodeRow(rows[1], &done)); err != nil {
		return 0, err
	}
	if done.Version > 0 {
		if done.Digest != a.digest {
			return 0, eris.Wrapf(ErrApplyIDReused, "version %d", done.Version)
		}
		return done.Version, nil
	}
	if head.Version != a.base {
		return 0, a.conflict(ctx, head.Head)
	}
	if head.Digest == a.digest {
		return a.base, nil
	}
	return a.commit(ctx, rows[0].Version, head)
}

// conflict returns a ConflictError with the changes since the base.
func (a *applier) conflict(ctx context.Context, head Head) error {
	e := &ConflictError{Base: a.base, Head: head}
	current, err := a.Load(ctx, head.Version)
	if err != nil {
		return err
	}
	before, err := a.Load(ctx, a.base)
	if errors.Is(err, ErrPruned) {
		return e
	}
	if err != nil {
		return err
	}
	e.BaseAvailable, e.Before, e.AcceptedChanges = true, before.Image, Diff(before.Image, current.Image)
	return e
}

func (a *applier) commit(ctx context.Context, rowVersion int64, head headRow) (Version, error) {
	before, err := a.Load(ctx, a.base)
	if err != nil {
		return 0, err
	}
	txn, err := a.transaction(before.Image, head)
	if err != nil {
		return 0, err
	}
	txn.Conditions = []store.Condition{{Key: headKey, Version: rowVersion}, {Key: applyKey(a.applyID)}}
	if _, err := a.table.Commit(ctx, txn); err != nil {
		return 0, eris.Wrap(err, "commit config version")
	}
	next := a.base + 1
	a.cacheState(State{Head: Head{Version: next, Digest: a.digest}, Image: a.image, Document: a.doc})
	return next, nil
}

// transaction returns a transaction with the writes of the version after head.
func (a *applier) transaction(before Image, head headRow) (store.Txn, error) {
	next := head.Version + 1
	if err := a.checkSize(); err != nil {
		return store.Txn{}, err
	}
	delta := Diff(before, a.image)
	packed, err := delta.Pack()
	if err != nil {
		return store.Txn{}, err
	}
	if len(packed) > maxBlobBytes {
		return store.Txn{}, eris.Wrapf(store.ErrTooLarge, "packed change has %d bytes, limit %d", len(packed), maxBlobBytes)
	}
	row := versionRow{Record: Record{Version: next, Digest: a.digest, Author: a.author, ApplyID: a.applyID,
		At: time.Now().UTC(), Changes: len(delta.Changes), Bytes: len(packed)}, Checkpoint: head.Checkpoint}
	var txn store.Txn
	row.Delta, txn.Writes = splitBlob(deltaBlob(next), packed)
	head.Head = Head{Version: next, Digest: a.digest}
	head.SinceCheckpoint += len(packed)
	head.Oldest = max(head.Oldest, 1)
	if err := a.addCheckpoint(&head, &row, &txn); err != nil {
		return store.Txn{}, err
	}
	return txn, addRows(&txn, map[string]any{
		headKey:             head,
		versionKey(next):    row,
		applyKey(a.applyID): applyRow{Version: next, Digest: a.digest},
	})
}

// checkSize rejects a document that is too large for a checkpoint. Without
// checkpoints, new processes would have to replay every version since the last
// one.
func (a *applier) checkSize() error {
	if a.image.size() <= a.maxDocumentBytes {
		return nil // compression makes it smaller
	}
	packed, err := Diff(Image{}, a.image).Pack()
	if err != nil {
		return err
	}
	if len(packed) > a.maxDocumentBytes {
		return eris.Wrapf(store.ErrTooLarge, "packed document has %d bytes, limit %d", len(packed), a.maxDocumentBytes)
	}
	return nil
}

func addRows(txn *store.Txn, rows map[string]any) error {
	for _, key := range sorted(rows) {
		write, err := encodeRow(key, rows[key])
		if err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, write)
	}
	return nil
}

// addCheckpoint adds the full document if a checkpoint is due and fits into the
// transaction. If it does not fit, a later version gets the checkpoint.
func (a *applier) addCheckpoint(head *headRow, row *versionRow, txn *store.Txn) error {
	gap := head.Version - head.Checkpoint
	if head.SinceCheckpoint < minCheckpointBytes && gap < a.checkpointGap {
		return nil
	}
	packed, err := Diff(Image{}, a.image).Pack()
	if err != nil {
		return err
	}
	due := head.SinceCheckpoint >= len(packed) || gap >= a.checkpointGap
	if !due || len(packed)+row.Delta.Size > maxBlobBytes {
		return nil
	}
	b, writes := splitBlob(documentBlob(head.Version), packed)
	row.FullDocument, row.Checkpoint = &b, head.Version
	txn.Writes = append(txn.Writes, writes...)
	head.Checkpoint, head.SinceCheckpoint = head.Version, 0
	return nil
}
