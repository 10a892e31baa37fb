package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"buckthornridge/bubble"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type testMessage struct {
	Text  string `msgpack:"t"`
	Count int    `msgpack:"c"`
}

type codedError struct{}

func (codedError) Error() string { return "no grant" }
func (codedError) Code() string  { return "budget" }

// startServer serves the given methods on loopback and returns the address.
func startServer(t *testing.T, methods map[string]Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer()
	for name, h := range methods {
		server.Handle(name, h)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		listener.Close()
		server.Close()
		<-served
	})
	return listener.Addr().String()
}

func startClient(t *testing.T) *Client {
	c := NewClient(nil)
	t.Cleanup(func() { c.Close() })
	return c
}

func echo(_ context.Context, decode func(any) error, _ Sender) (any, error) {
	var n testMessage
	if err := decode(&n); err != nil {
		return nil, err
	}
	return n, nil
}

func count(ctx context.Context, decode func(any) error, send Sender) (any, error) {
	var n testMessage
	if err := decode(&n); err != nil {
		return nil, err
	}
	for i := range n.Count {
		if err := send(testMessage{Count: i}); err != nil {
			return nil, err
		}
	}
	return testMessage{Text: "end"}, nil
}

// A router that shuts down closes its server and waits for Serve to return. If
// Serve kept accepting connections after Close, the process would hang until it
// was killed.
func TestCloseEndsServe(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer()
	served := make(chan error)
	go func() { served <- server.Serve(listener) }()
	is.NoErr(startClient(t).Push(t.Context(), listener.Addr().String(), "any", nil))
	is.NoErr(server.Close())
	is.NoErr(<-served)
	is.NoErr(server.Serve(listener)) // returns at once after Close
}

func TestCall(t *testing.T) {
	is := is.New(t)
	address := startServer(t, map[string]Handler{"echo": echo})
	var reply testMessage
	err := startClient(t).Call(t.Context(), address, "echo", testMessage{Text: "hello", Count: 3}, &reply)
	is.NoErr(err)
	is.Equal(reply, testMessage{Text: "hello", Count: 3})
}

func TestStreamKeepsOrderBeyondWindow(t *testing.T) {
	is := is.New(t)
	address := startServer(t, map[string]Handler{"count": count})
	stream, err := startClient(t).Open(t.Context(), address, "count", testMessage{Count: 5 * Window})
	is.NoErr(err)
	defer stream.Close()
	var message, final testMessage
	for i := range 5 * Window {
		is.NoErr(stream.Next(&message, &final))
		is.Equal(message.Count, i)
	}
	is.Equal(stream.Next(&message, &final), io.EOF)
	is.Equal(final.Text, "end")
}

func TestErrorCodes(t *testing.T) {
	address := startServer(t, map[string]Handler{
		"coded": func(context.Context, func(any) error, Sender) (any, error) { return nil, codedError{} },
		"plain": func(context.Context, func(any) error, Sender) (any, error) { return nil, errors.New("broken disk") },
		"wait": func(ctx context.Context, _ func(any) error, _ Sender) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		"type": func(_ context.Context, decode func(any) error, _ Sender) (any, error) {
			var number int
			return nil, decode(&number)
		},
	})
	client := startClient(t)
	for _, c := range []struct{ method, code string }{
		{"coded", "budget"},
		{"plain", CodeInternal},
		{"type", CodeInternal},
		{"missing", CodeUnknownMethod},
	} {
		t.Run(c.method, func(t *testing.T) {
			is := is.New(t)
			err := client.Call(t.Context(), address, c.method, testMessage{}, nil)
			var remote *RemoteError
			is.True(errors.As(err, &remote))
			is.Equal(remote.Code, c.code)
			is.Equal(remote.Peer, address)
			is.Equal(remote.Method, c.method)
		})
	}
	t.Run("deadline", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		err := client.Call(ctx, address, "wait", nil, nil)
		var remote *RemoteError
		onTheWire := errors.As(err, &remote) && remote.Code == CodeDeadline
		is.New(t).True(onTheWire || errors.Is(err, context.DeadlineExceeded))
	})
}

func TestUnreachableWithoutListener(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	err = startClient(t).Call(t.Context(), address, "echo", testMessage{}, nil)
	is.True(errors.Is(err, ErrUnreachable))
}

// A caller closes a stream early. Unless this cancels the handler's context, the
// handler goes on generating, and tokens that nobody receives are charged to the
// budget.
func TestCloseCancelsHandler(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	address := startServer(t, map[string]Handler{
		"endless": func(ctx context.Context, _ func(any) error, send Sender) (any, error) {
			for {
				if err := send(testMessage{}); err != nil {
					ended <- ctx.Err()
					return nil, err
				}
			}
		},
	})
	stream, err := startClient(t).Open(t.Context(), address, "endless", nil)
	is.NoErr(err)
	is.NoErr(stream.Next(nil, nil))
	is.NoErr(stream.Close())
	is.Equal(<-ended, context.Canceled)
}

// A VM fails while it streams. The caller must get ErrBroken, since the call may
// have been executed, and not ErrUnreachable. Messages that were received before
// are still delivered.
func TestBrokenConnectionIsNotUnreachable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		f, err := readFrame(bufio.NewReader(conn))
		if err != nil {
			return
		}
		body, _ := encodeBody(testMessage{Text: "first"})
		encoded, _ := encodeFrame(&frame{Kind: frameMessage, Call: f.Call, Body: body})
		conn.Write(encoded)
		conn.Close()
	}()
	stream, err := startClient(t).Open(t.Context(), listener.Addr().String(), "any", nil)
	is.NoErr(err)
	var message testMessage
	is.NoErr(stream.Next(&message, nil))
	is.Equal(message.Text, "first")
	err = stream.Next(&message, nil)
	is.True(errors.Is(err, ErrBroken))
	is.True(!errors.Is(err, ErrUnreachable))
}

// A VM is paused: its socket stays open and accepts bytes, but sends none. The call
// must fail with ErrBroken within seconds, although the caller's deadline is a
// minute away.
func TestSilentPeerBreaksCall(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		client := NewClient(nil)
		client.DialContext = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		err := client.Call(ctx, "paused:1", "any", nil, nil)
		is.True(errors.Is(err, ErrBroken))
		is.True(time.Since(start) <= silenceLimit+2*pingInterval)
		is.NoErr(client.Close())
	})
}

// A slow reader of one call must not block another call on the same connection:
// the handler of the slow call waits for its window and doesn't block the link.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	address := startServer(t, map[string]Handler{"count": count, "echo": echo})
	client := startClient(t)
	slow, err := client.Open(t.Context(), address, "count", testMessage{Count: 10 * Window})
	is.NoErr(err)
	defer slow.Close()
	for i := range 50 {
		var reply testMessage
		is.NoErr(client.Call(t.Context(), address, "echo", testMessage{Count: i}, &reply))
		is.Equal(reply.Count, i)
	}
}

func TestReadFrameRejectsMalformedInput(t *testing.T) {
	prefixed := func(size uint32, body []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, size), body...)
	}
	for _, c := range []struct {
		name string
		in   []byte
		want error
	}{
		{"too large", prefixed(MaxFrame+1, nil), ErrFrameTooLarge},
		{"cut short", prefixed(100, []byte("abc")), io.ErrUnexpectedEOF},
		{"no msgpack", prefixed(3, []byte{0xc1, 0xc1, 0xc1}), ErrMalformed},
		{"800 million elements in ten bytes", prefixed(10, []byte{0xdd, 0x30, 0x30, 0x90, 0x30, 1, 2, 3, 4, 5}), ErrMalformed},
		{"nested announcement", prefixed(8, []byte{0x92, 1, 0x81, 0xa1, 'e', 0xdd, 0x7f, 0xff}), ErrMalformed},
		{"map of too many", prefixed(5, []byte{0xdf, 0, 0, 0xff, 0xff}), ErrMalformed},
		{"nested too deep", prefixed(100, append(bytes.Repeat([]byte{0x91}, 99), 0xc0)), ErrMalformed},
		{"bytes after the value", prefixed(2, []byte{0xc0, 0xc0}), ErrMalformed},
		{"unknown kind", prefixed(2, []byte{0x91, 0x63}), ErrMalformed},
		{"empty", nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := readFrame(bufio.NewReader(bytes.NewReader(c.in)))
			is.New(t).True(errors.Is(err, c.want))
		})
	}
}

func TestOversizedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	address := startServer(t, map[string]Handler{"echo": echo})
	client := startClient(t)
	big := testMessage{Text: strings.Repeat("x", MaxFrame)}
	is.True(errors.Is(client.Call(t.Context(), address, "echo", big, nil), ErrFrameTooLarge))
	var reply testMessage
	is.NoErr(client.Call(t.Context(), address, "echo", testMessage{Text: "still here"}, &reply))
	is.Equal(reply.Text, "still here")
}

// Every format that the msgpack library encodes must pass the scan.
func TestScanAcceptsEncodedValues(t *testing.T) {
	for _, value := range []any{
		make([][]int, 200), [][]string{{"a"}, {"b", "c"}, {}}, nil, true, 7, -1, 1 << 7, 1 << 15, 1 << 31, int64(1) << 62, -(1 << 7), -(1 << 15), -(1 << 40), 1.5, float32(2),
		"", strings.Repeat("s", 31), strings.Repeat("s", 200), strings.Repeat("s", 70_000),
		[]byte("bin"), make([]byte, 300), make([]byte, 70_000), time.Unix(1, 2),
		make([]int, 15), make([]int, 16), make([]int, 70_000), map[string][]testMessage{"a": {{Text: "x"}}, "b": nil},
	} {
		encoded, err := encodeBody(value)
		is := is.New(t)
		is.NoErr(err)
		if value != nil {
			is.NoErr(scan(encoded))
		}
	}
}

func FuzzReadFrame(f *testing.F) {
	good, _ := encodeFrame(&frame{Kind: frameRequest, Call: 7, Method: "echo", Body: []byte{0xc0}})
	f.Add(good)
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := readFrame(bufio.NewReader(bytes.NewReader(in)))
		if err != nil {
			return
		}
		reencoded, err := encodeFrame(got)
		if err != nil {
			t.Fatalf("a decoded frame does not encode: %v", err)
		}
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(reencoded))); err != nil {
			t.Fatalf("an encoded frame does not decode: %v", err)
		}
	})
}
