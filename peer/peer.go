// Package peer carries messages between the system's own processes: TCP, frames
// with a length prefix, msgpack inside, many calls on one connection.
//
// A call is a request with one reply, a stream of replies, or a push without a
// reply. Errors tell whether the request can have reached the other side.
package peer

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrUnreachable reports that no byte of the request was sent.
	ErrUnreachable = eris.New("peer: unreachable")
	// ErrBroken reports a connection lost after the request was sent; the other
	// side may have acted on it.
	ErrBroken = eris.New("peer: connection broken")
	// ErrFrameTooLarge reports a frame over MaxFrame, refused by either side.
	ErrFrameTooLarge = eris.New("peer: frame too large")
	// ErrMalformed reports bytes that are no frame; the connection is closed.
	ErrMalformed = eris.New("peer: malformed frame")
)

// MaxFrame bounds one frame in bytes, header excluded.
const MaxFrame = 4 << 20

// RemoteError is an error that the other side's handler returned.
type RemoteError struct {
	Peer   string
	Method string
	Code   string // short and stable, for decisions
	Text   string // for people
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s: %s: %s", e.Peer, e.Method, e.Code, e.Text)
}

// CodedError is an error that keeps its code across the wire.
type CodedError interface {
	error
	Code() string
}

// Sender writes one streamed message back to the caller. It blocks while the
// caller's window is full.
type Sender func(message any) error

// Handler serves one method. decode reads the request's body. For a streaming
// method it sends messages before it returns; the returned reply ends the call.
// The context ends when the caller cancels, its deadline passes or its
// connection breaks.
type Handler func(ctx context.Context, decode func(into any) error, send Sender) (reply any, err error)

// Caller is the client side, one connection per peer address, dialled on demand.
type Caller interface {
	// Call sends a request and decodes the one reply into reply (may be nil).
	Call(ctx context.Context, address, method string, request, reply any) error
	// Open starts a streaming call.
	Open(ctx context.Context, address, method string, request any) (Stream, error)
	// Push sends a message without waiting for anything.
	Push(ctx context.Context, address, method string, message any) error
}

// Stream is the caller's side of a streaming call, used by one goroutine.
type Stream interface {
	// Next decodes the next streamed message. After the last one it decodes the
	// final reply into final and returns io.EOF.
	Next(message, final any) error
	// Close cancels the call if it still runs.
	Close() error
}
