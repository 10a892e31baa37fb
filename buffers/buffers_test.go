package buffers

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// What is read is what was sent, up to the bound, and all bytes are returned to the limit.
func TestReadsWhatWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "sent")
		most := rapid.Int64Range(0, 5000).Draw(t, "most")
		limit := NewLimit(rapid.Int64Range(0, 5000).Draw(t, "limit"))
		b := New(limit, most)
		err := b.ReadAll(iotest.HalfReader(bytes.NewReader(sent)))
		switch {
		case limit.Kept() > limit.max || int64(len(b.Bytes())) > most:
			t.Fatal("a bound was exceeded")
		case err == nil && !bytes.Equal(b.Bytes(), sent):
			t.Fatal("other bytes were read")
		case err == nil && int64(len(sent)) > most, errors.Is(err, ErrTooLong) && int64(len(sent)) <= most:
			t.Fatal(err)
		}
		if b.Free(); limit.Kept() != 0 {
			t.Fatal("bytes were not returned")
		}
	})
}

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against readers that each keep to their bound and together exceed the memory.
func TestManyReadersShareALimit(t *testing.T) {
	is := is.New(t)
	limit := NewLimit(1 << 20)
	full := 0
	for range 500 {
		b := New(limit, 64<<10)
		if errors.Is(b.ReadAll(endless{}), ErrFull) {
			full++
		}
		is.True(limit.Kept() <= 1<<20)
	}
	is.True(full >= 500-16-1)
}

// Guards against memory that is taken by the word of a length alone.
func TestAnnouncedLengthIsReservedAsItArrives(t *testing.T) {
	is := is.New(t)
	limit := NewLimit(1 << 20)
	b := New(limit, 16<<20)
	is.True(errors.Is(b.ReadExactly(strings.NewReader("x"), 8<<20), io.ErrUnexpectedEOF))
	is.Equal(limit.Kept(), int64(trustedLength))
	b.Free()
	sent := bytes.Repeat([]byte("0123456789"), 50_000)
	b = New(limit, 16<<20)
	is.NoErr(b.ReadExactly(iotest.HalfReader(bytes.NewReader(sent)), int64(len(sent))))
	is.Equal(b.Bytes(), sent)
	b.Free()
	is.Equal(limit.Kept(), int64(0))
}

// Guards against a length that exceeds a bound.
func TestAnnouncedLengthIsReserved(t *testing.T) {
	is := is.New(t)
	limit := NewLimit(100)
	b := New(limit, 1000)
	is.True(errors.Is(b.ReadExactly(strings.NewReader("x"), 101), ErrFull))
	is.True(errors.Is(b.ReadExactly(strings.NewReader("x"), 1001), ErrTooLong))
	is.True(errors.Is(b.ReadExactly(strings.NewReader("x"), 2), io.ErrUnexpectedEOF))
	b.Free()
	is.Equal(limit.Kept(), int64(0))
}

// Guards against readers that are refused though others would make room for them.
func TestFullLimitAsksForRoom(t *testing.T) {
	is := is.New(t)
	limit := NewLimit(1 << 10)
	other := New(limit, 1<<10)
	is.NoErr(other.ReadExactly(strings.NewReader(strings.Repeat("o", 1<<10)), 1<<10))
	b, asked := New(limit, 1<<10), 0
	b.OnFull = func() bool {
		if asked++; asked == 2 {
			other.Free()
		}
		return asked <= 2
	}
	is.NoErr(b.ReadExactly(strings.NewReader("abc"), 3))
	is.Equal(asked, 2)
	is.Equal(string(b.Bytes()), "abc")
	full := New(limit, 1<<10)
	full.OnFull = func() bool { return false }
	is.Equal(full.ReadExactly(strings.NewReader(strings.Repeat("f", 1<<10)), 1<<10), ErrFull)
}
