// Package buffers bounds the memory that a process spends on bytes of others that it keeps
// until they are whole: bodies of requests and responses, events of streams. Each reader has
// a bound of its own; a Limit bounds all of them together.
package buffers

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrTooLong reports bytes beyond a reader's own bound.
var ErrTooLong = eris.New("buffers: too long")

// ErrFull reports that all readers together have reached their limit.
var ErrFull = eris.New("buffers: the process keeps as many bytes as it may")

// Limit bounds the bytes that are kept at the same time. A nil Limit bounds nothing. It is
// safe for concurrent use.
type Limit struct {
	max  int64
	kept atomic.Int64
}

// NewLimit returns a limit in bytes.
func NewLimit(max int64) *Limit { return &Limit{max: max} }

// Kept returns the bytes that are kept now.
func (l *Limit) Kept() int64 {
	if l == nil {
		return 0
	}
	return l.kept.Load()
}

// Reserve takes n bytes and reports whether there was room for them.
func (l *Limit) Reserve(n int64) bool {
	if l == nil {
		return true
	}
	if l.kept.Add(n) > l.max {
		l.kept.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes.
func (l *Limit) Release(n int64) {
	if l != nil {
		l.kept.Add(-n)
	}
}

const (
	firstCapacity = 1 << 10
	// trustedLength is how many bytes are reserved by the word of a length, before they
	// arrive.
	trustedLength = 64 << 10
)

// Buffer keeps bytes of one reader. It is for one goroutine.
type Buffer struct {
	// OnFull, if set, is called when the limit has no room. It may wait for some, and reports
	// whether to try again.
	OnFull func() bool

	limit *Limit
	max   int64
	data  []byte
}

// New returns an empty buffer for up to max bytes, within a limit.
func New(limit *Limit, max int64) *Buffer { return &Buffer{limit: limit, max: max} }

// Bytes returns what the buffer keeps, until Free.
func (b *Buffer) Bytes() []byte { return b.data }

// Free returns the buffer's bytes to the limit.
func (b *Buffer) Free() {
	b.limit.Release(int64(cap(b.data)))
	b.data = nil
}

// grow sets the capacity. The error is ErrFull or ErrTooLong.
func (b *Buffer) grow(capacity int64) error {
	if capacity > b.max {
		return ErrTooLong
	}
	added := capacity - int64(cap(b.data))
	if added <= 0 {
		return nil
	}
	for !b.limit.Reserve(added) {
		if b.OnFull == nil || !b.OnFull() {
			return ErrFull
		}
	}
	grown := make([]byte, len(b.data), capacity)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// ReadExactly reads n bytes.
func (b *Buffer) ReadExactly(r io.Reader, n int64) error {
	if n > b.max {
		return ErrTooLong
	}
	for capacity := min(n, trustedLength); ; capacity = min(n, 2*capacity) {
		if err := b.grow(capacity); err != nil {
			return err
		}
		from := len(b.data)
		b.data = b.data[:capacity]
		if _, err := io.ReadFull(r, b.data[from:]); err != nil || capacity == n {
			return err
		}
	}
}

// ReadAll reads to the end.
func (b *Buffer) ReadAll(r io.Reader) error {
	for {
		if len(b.data) == cap(b.data) {
			if err := b.growTwofold(r); err != nil {
				if err == io.EOF {
					return nil
				}
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// growTwofold doubles the capacity, up to the bound. At the bound it returns io.EOF if
// nothing more follows.
func (b *Buffer) growTwofold(r io.Reader) error {
	if int64(len(b.data)) < b.max {
		return b.grow(min(b.max, max(firstCapacity, 2*int64(cap(b.data)))))
	}
	var one [1]byte
	n, err := io.ReadFull(r, one[:])
	if n > 0 {
		return ErrTooLong
	}
	return err
}
