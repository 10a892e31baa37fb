package request

import (
	"context"
	"sync"
	"time"
)

// Run is one execution of a request on this router. Any number of callers can
// follow it from the first token on. Only its own goroutine changes its state.
type Run struct {
	key    Key
	digest Digest

	mu              sync.Mutex
	state           State
	tokens          []string // by position; append-only, so readers may share it
	bytes           int
	hint            Hint
	outcome         *Outcome
	endedAt         time.Time
	followers       map[*follower]struct{}
	unfollowedSince time.Time // when a follower last left, or the run began
	abandoned       bool      // abandoned before dispatch; must not be dispatched
}

// follower is notified when the run changes; pending notifications coalesce.
type follower struct{ notify chan struct{} }

// Update is one event sent to a follower: the next token, the location of the
// engine stream, or another router's acknowledgement of the request.
type Update struct {
	Accepted bool   `msgpack:"a,omitempty"`
	Position int64  `msgpack:"p"`
	Text     string `msgpack:"t"`
	Hint     *Hint  `msgpack:"h,omitempty"`
}

func newRun(key Key, digest Digest) *Run {
	return &Run{
		key:             key,
		digest:          digest,
		followers:       map[*follower]struct{}{},
		unfollowedSince: time.Now(),
	}
}

// State returns the run's current state.
func (r *Run) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// enter moves the run to a state.
func (r *Run) enter(to State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mustAllow(r.state, to)
	r.state = to
}

// position returns the position of the next token.
func (r *Run) position() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.tokens))
}

// tokenAt returns the token at a position below position().
func (r *Run) tokenAt(position int64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens[position]
}

// add appends a token and notifies the followers.
func (r *Run) add(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, text)
	r.bytes += len(text)
	r.notifyFollowers()
}

// dispatch moves the run to Dispatched and publishes the stream's location. It
// must be called before the first byte is sent. It returns false for an abandoned
// run.
func (r *Run) dispatch(h Hint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.abandoned {
		return false
	}
	mustAllow(r.state, Dispatched)
	r.state = Dispatched
	r.hint = h
	r.notifyFollowers()
	return true
}

// prepareRetry moves the run to the state from which the next attempt starts.
func (r *Run) prepareRetry(mayHaveRun bool) {
	if mayHaveRun {
		r.returnTo(Retrying)
		return
	}
	r.returnTo(Reserved)
}

// returnTo moves the run back to a state from which it can be dispatched, unless
// it is already in that state.
func (r *Run) returnTo(to State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == to {
		return
	}
	mustAllow(r.state, to)
	r.state = to
}

// abandon marks the run as abandoned if it was not dispatched and nobody follows
// it. If it returns true, the request has not run and cannot run any more, because
// dispatch refuses the run.
func (r *Run) abandon() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.MayHaveRun() || len(r.followers) > 0 {
		return false
	}
	r.abandoned = true
	return true
}

// isAbandoned reports whether abandon succeeded.
func (r *Run) isAbandoned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.abandoned
}

// end moves the run to a final state and publishes the outcome.
func (r *Run) end(state State, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	mustAllow(r.state, state)
	r.state = state
	r.outcome = &outcome
	r.endedAt = time.Now()
	if outcome.Reply != nil {
		r.bytes += len(outcome.Reply.Body)
	}
	r.notifyFollowers()
}

func (r *Run) notifyFollowers() {
	for f := range r.followers {
		select {
		case f.notify <- struct{}{}:
		default:
		}
	}
}

// follow passes every update to emit, from the first token on, and returns the
// outcome. It returns early with an error of ctx or emit; the run continues. The
// follower has left when it returns.
func (r *Run) follow(ctx context.Context, f *follower, emit func(Update) error) (Outcome, error) {
	defer r.leave(f)
	var cursor cursor
	for {
		batch, hint, outcome := r.advance(&cursor)
		if hint != nil {
			if err := emit(Update{Hint: hint, Position: cursor.position - int64(len(batch))}); err != nil {
				return Outcome{}, err
			}
		}
		for i, text := range batch {
			position := cursor.position - int64(len(batch)-i)
			if err := emit(Update{Position: position, Text: text}); err != nil {
				return Outcome{}, err
			}
		}
		if outcome != nil {
			return *outcome, nil
		}
		select {
		case <-f.notify:
		case <-ctx.Done():
			return Outcome{}, ctx.Err()
		}
	}
}

// cursor is a follower's position in the run's updates.
type cursor struct {
	position int64
	hint     Hint
}

// advance returns the updates after the cursor and moves the cursor past them.
func (r *Run) advance(c *cursor) (batch []string, hint *Hint, outcome *Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hint != c.hint {
		c.hint = r.hint
		current := r.hint
		hint = &current
	}
	batch = r.tokens[c.position:]
	c.position = int64(len(r.tokens))
	return batch, hint, r.outcome
}

func (r *Run) join() *follower {
	f := &follower{notify: make(chan struct{}, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers[f] = struct{}{}
	return f
}

func (r *Run) leave(f *follower) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.followers, f)
	r.unfollowedSince = time.Now()
}

// disconnectedFor reports whether nobody has followed the run for the grace
// period.
func (r *Run) disconnectedFor(grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.followers) == 0 && time.Since(r.unfollowedSince) >= grace
}

// problem returns the run's problem, or nil if it has not ended or succeeded.
func (r *Run) problem() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcome == nil || r.outcome.Problem == nil {
		return nil
	}
	return r.outcome.Problem
}

// expired reports whether the run ended at least the retention period ago.
func (r *Run) expired(now time.Time, retention time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Ended() && now.Sub(r.endedAt) >= retention
}

// size returns the size of the retained answer in bytes.
func (r *Run) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}
