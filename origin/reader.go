package origin

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"
)

const (
	// readTimeout bounds one reading of the log for streams that are taken up.
	readTimeout = 250 * time.Millisecond
	// readTTL is how long a reading serves, from its begin. It bounds the calls to the table
	// when many streams are taken up.
	readTTL = 200 * time.Millisecond
)

// errOutdated reports that the answer may be from long ago: the process stood still meanwhile.
var errOutdated = eris.New("origin: the reading of the log took too long")

// Reader brings the history up to date with the log for routers that take streams up.
type Reader struct {
	// Read reads the log into the history.
	Read func(context.Context) error

	flight singleflight.Group
	mu     sync.Mutex
	began  time.Time // of the last reading that succeeded
}

// Refresh makes sure that the history knows what the log named readTTL and readTimeout ago. An
// error means that it may not.
func (r *Reader) Refresh(ctx context.Context) error {
	if r.isFresh(time.Now()) {
		return nil
	}
	_, err, _ := r.flight.Do("", func() (any, error) { return nil, r.read(context.WithoutCancel(ctx)) })
	return err
}

func (r *Reader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	if err := r.Read(ctx); err != nil {
		return err
	}
	if age := wallSince(began); age < 0 || age > readTimeout {
		return errOutdated
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = began
	return nil
}

func (r *Reader) isFresh(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := wallSince(r.began)
	return !r.began.IsZero() && now.Sub(r.began) < readTTL && age >= 0 && age < readTTL
}

// wallSince returns the time since then by the wall clock. Unlike the monotonic clock it
// counts the time for which the machine was suspended; a step of the clock only costs a reading.
func wallSince(then time.Time) time.Duration { return time.Now().Round(0).Sub(then.Round(0)) }
