package peer

import (
	"context"
	"io"

	"github.com/rotisserie/eris"
)

// creditStep is after how many consumed messages credit for them is sent.
const creditStep = Window / 2

// clientStream is the client side of one call.
type clientStream struct {
	ctx      context.Context
	conn     *clientConn
	call     *clientCall
	method   string
	consumed int64
	ended    bool
}

var _ Stream = (*clientStream)(nil)

// Next implements Stream.
func (s *clientStream) Next(message, final any) error {
	f, err := s.receive()
	if err != nil {
		return err
	}
	switch f.Kind {
	case frameMessage:
		s.returnCredit()
		return decodeBody(f.Body, message)
	case frameReply:
		s.endCall()
		if err := decodeBody(f.Body, final); err != nil {
			return err
		}
		return io.EOF
	case frameError:
		s.endCall()
		return &RemoteError{Peer: s.conn.address, Method: s.method, Code: f.Code, Text: f.Text}
	}
	s.conn.link.fail(ErrMalformed)
	return eris.Wrapf(ErrMalformed, "%s: peer %s: unexpected frame kind %d in a call", s.method, s.conn.address, f.Kind)
}

// waitReply waits for the reply and discards streamed messages.
func (s *clientStream) waitReply(reply any) error {
	for {
		switch err := s.Next(nil, reply); err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}

// receive returns the next frame. Frames that were received before the connection
// broke are returned in order before the error.
func (s *clientStream) receive() (*frame, error) {
	if s.ended {
		return nil, eris.Errorf("%s: peer %s: call has already ended", s.method, s.conn.address)
	}
	select {
	case f := <-s.call.frames:
		return f, nil
	default:
	}
	select {
	case f := <-s.call.frames:
		return f, nil
	case <-s.ctx.Done():
		return nil, eris.Wrapf(s.ctx.Err(), "%s: peer %s", s.method, s.conn.address)
	case <-s.conn.link.done:
	}
	select {
	case f := <-s.call.frames:
		return f, nil
	default:
		return nil, eris.Wrapf(ErrBroken, "%s: peer %s: %v", s.method, s.conn.address, s.conn.link.err)
	}
}

func (s *clientStream) returnCredit() {
	s.consumed++
	if s.consumed < creditStep {
		return
	}
	// The error is ignored: the next receive reports a broken link.
	_ = s.conn.link.send(&frame{Kind: frameCredit, Call: s.call.id, Credit: s.consumed})
	s.consumed = 0
}

func (s *clientStream) endCall() {
	s.ended = true
	s.conn.removeCall(s.call)
}

// Close implements Stream.
func (s *clientStream) Close() error {
	if s.ended {
		return nil
	}
	s.endCall()
	_ = s.conn.link.send(&frame{Kind: frameCancel, Call: s.call.id})
	return nil
}
