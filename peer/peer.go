// Package peer is the RPC protocol between the system's processes. It sends frames
// with a length prefix and a msgpack body over TCP and multiplexes many calls on
// one connection.
//
// A call is a request with one reply, a request with a stream of messages before
// the reply, or a push without a reply. Errors say whether the request may have
// reached the server.
package peer

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrUnreachable reports that no byte of the request was sent.
	ErrUnreachable = eris.New("peer: unreachable")
	// ErrBroken reports a connection that was lost after the request was sent; the
	// server may have executed it.
	ErrBroken = eris.New("peer: connection broken")
	// ErrFrameTooLarge reports a frame larger than MaxFrame. Both the sender and the
	// receiver reject it.
	ErrFrameTooLarge = eris.New("peer: frame too large")
	// ErrMalformed reports bytes that are not a valid frame, or that a message can't
	// be decoded. A malformed frame closes the connection.
	ErrMalformed = eris.New("peer: malformed frame")
)

// MaxFrame is the maximum size of a frame in bytes, without the length prefix.
const MaxFrame = 4 << 20

// RemoteError is an error that the server returned for a call.
type RemoteError struct {
	Peer   string
	Method string
	Code   string // short and stable, for programs
	Text   string // for operators
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s: %s: %s", e.Peer, e.Method, e.Code, e.Text)
}

// CodedError is an error with a code, which reaches the client as
// RemoteError.Code.
type CodedError interface {
	error
	Code() string
}

// Sender sends one streamed message to the caller. It blocks while the caller's
// window is full.
type Sender func(message any) error

// Handler serves one method. decode decodes the request's body. A handler of a
// streaming method sends messages before it returns; the returned reply ends the
// call. The context is cancelled when the caller cancels, its deadline passes or
// its connection breaks.
type Handler func(ctx context.Context, decode func(into any) error, send Sender) (reply any, err error)

// Caller is the client side. It uses one connection per peer address, dialled on
// demand.
type Caller interface {
	// Call sends a request and decodes the reply into reply, which may be nil.
	Call(ctx context.Context, address, method string, request, reply any) error
	// Open starts a streaming call.
	Open(ctx context.Context, address, method string, request any) (Stream, error)
	// Push queues a message for sending and doesn't wait for a reply.
	Push(ctx context.Context, address, method string, message any) error
}

// Stream is the client side of a streaming call. It is used by one goroutine.
type Stream interface {
	// Next decodes the next streamed message. After the last one it decodes the
	// final reply into final and returns io.EOF.
	Next(message, final any) error
	// Close cancels the call if it has not ended.
	Close() error
}
