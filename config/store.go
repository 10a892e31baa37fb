package config

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
)

// Store stores accepted versions in the platform's table. Any number of
// processes and goroutines may use it concurrently.
type Store struct {
	table            store.Table
	checkpointGap    Version // maximum number of versions between checkpoints
	maxDocumentBytes int     // maximum size of a packed document

	mu   sync.Mutex
	last State // the last loaded or accepted state; later versions are replayed on it
}

// NewStore returns a Store that uses table.
func NewStore(table store.Table) *Store {
	return &Store{table: table, checkpointGap: maxCheckpointGap, maxDocumentBytes: maxBlobBytes}
}

// ConflictError reports an apply whose base is not the head because another
// change was accepted first. Nothing was changed.
type ConflictError struct {
	Base Version
	Head Head
	// AcceptedChanges holds the changes between the base and the head. It is
	// set only if BaseAvailable, that is, if the base could still be loaded.
	AcceptedChanges Delta
	BaseAvailable   bool
	// Before is the image at the base, which holds the old values; it is empty
	// unless BaseAvailable.
	Before Image
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: based on version %d, but version %d is accepted (%d entries differ)",
		e.Base, e.Head.Version, len(e.AcceptedChanges.Changes))
}

// Head returns the accepted version; 0 if there is none.
func (s *Store) Head(ctx context.Context) (Head, error) {
	var head headRow
	_, err := s.readJSON(ctx, headKey, &head)
	return head.Head, err
}

// Applied returns the version that the apply with applyID created, or 0.
func (s *Store) Applied(ctx context.Context, applyID string) (Version, error) {
	var row applyRow
	_, err := s.readJSON(ctx, applyKey(applyID), &row)
	return row.Version, err
}

// Load returns the state at a version; version 0 is the empty state.
func (s *Store) Load(ctx context.Context, version Version) (State, error) {
	if version == 0 {
		return State{}, nil
	}
	var row versionRow
	found, err := s.readJSON(ctx, versionKey(version), &row)
	if err != nil {
		return State{}, err
	}
	if found == 0 {
		return State{}, eris.Wrapf(ErrPruned, "version %d", version)
	}
	if last := s.cached(); last.Head == (Head{Version: version, Digest: row.Digest}) {
		return last, nil
	}
	return s.loadFrom(ctx, row)
}

// loadFrom replays deltas on the cached state if that lies between the last
// checkpoint and the wanted version. If the table was restored from an older copy,
// the cached state may belong to another history. The digests then differ
// (ErrCorrupt), and the deltas are replayed from the last checkpoint.
func (s *Store) loadFrom(ctx context.Context, row versionRow) (State, error) {
	if last := s.cached(); last.Version > row.Checkpoint && last.Version < row.Version {
		state, err := s.replayTo(ctx, last, row.Version)
		if !errors.Is(err, ErrCorrupt) {
			return state, err
		}
	}
	var start State
	if row.Checkpoint > 0 {
		step, err := s.checkpoint(ctx, row.Checkpoint)
		if err != nil {
			return State{}, err
		}
		if start, err = start.ApplySteps([]Step{step}); err != nil {
			return State{}, err
		}
	}
	return s.replayTo(ctx, start, row.Version)
}

func (s *Store) replayTo(ctx context.Context, from State, version Version) (State, error) {
	steps, err := s.steps(ctx, from.Version, version)
	if err != nil {
		return State{}, err
	}
	state, err := from.ApplySteps(steps)
	if err != nil {
		return State{}, err
	}
	s.cacheState(state)
	return state, nil
}

// checkpoint returns the step from 0 to a checkpoint.
func (s *Store) checkpoint(ctx context.Context, version Version) (Step, error) {
	var row versionRow
	found, err := s.readJSON(ctx, versionKey(version), &row)
	if err != nil {
		return Step{}, err
	}
	if found == 0 || row.FullDocument == nil {
		return Step{}, eris.Wrapf(ErrPruned, "checkpoint %d", version)
	}
	data, err := s.readBlob(ctx, documentBlob(version), *row.FullDocument)
	return Step{To: version, Digest: row.Digest, Data: data}, err
}

// steps returns one step for each version above from, up to and including to.
func (s *Store) steps(ctx context.Context, from, to Version) ([]Step, error) {
	if from >= to {
		return nil, nil
	}
	var steps []Step
	err := s.scan(ctx, versionPrefix, versionKey(from), func(row store.Row) (bool, error) {
		var entry versionRow
		if err := decodeRow(row, &entry); err != nil {
			return false, err
		}
		step, err := s.step(ctx, entry)
		if err != nil {
			return false, err
		}
		steps = append(steps, step)
		return step.To < to, nil
	})
	if err != nil {
		return nil, err
	}
	if want := int(to - from); len(steps) != want {
		return nil, eris.Wrapf(ErrPruned, "%d of %d versions after %d", want-len(steps), want, from)
	}
	return steps, nil
}

func (s *Store) step(ctx context.Context, row versionRow) (Step, error) {
	data, err := s.readBlob(ctx, deltaBlob(row.Version), row.Delta)
	return Step{From: row.Version - 1, To: row.Version, Digest: row.Digest, Data: data}, err
}

// maxReplayedDeltas is the number of deltas up to which replaying them is likely
// cheaper than loading the full document.
const maxReplayedDeltas = 512

// Since implements Fetcher.
func (s *Store) Since(ctx context.Context, from Version) ([]Step, error) {
	var head headRow
	if _, err := s.readJSON(ctx, headKey, &head); err != nil {
		return nil, err
	}
	if head.Version <= from {
		return nil, nil
	}
	replayable := from > 0 && head.Version-from <= maxReplayedDeltas && from+1 >= head.Oldest
	if replayable || head.Checkpoint == 0 {
		return s.steps(ctx, from, head.Version)
	}
	first, err := s.checkpoint(ctx, head.Checkpoint)
	if err != nil {
		return nil, err
	}
	rest, err := s.steps(ctx, head.Checkpoint, head.Version)
	return append([]Step{first}, rest...), err
}

// History returns up to limit records of versions below before, newest first.
// 0 starts at the head.
func (s *Store) History(ctx context.Context, before Version, limit int) ([]Record, error) {
	var head headRow
	if _, err := s.readJSON(ctx, headKey, &head); err != nil {
		return nil, err
	}
	if before == 0 || before > head.Version {
		before = head.Version + 1
	}
	from := max(head.Oldest, 1)
	if before > Version(limit) {
		from = max(from, before-Version(limit))
	}
	var records []Record
	err := s.scan(ctx, versionPrefix, versionKey(from-1), func(row store.Row) (bool, error) {
		var entry versionRow
		if err := decodeRow(row, &entry); err != nil {
			return false, err
		}
		if entry.Version < before {
			records = append([]Record{entry.Record}, records...)
		}
		return entry.Version+1 < before, nil
	})
	return records, err
}

func (s *Store) cached() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *Store) cacheState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Version >= s.last.Version {
		s.last = state
	}
}
