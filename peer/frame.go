package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	frameRequest frameKind = iota + 1 // client to server: starts a call
	framePush                         // client to server: starts a call without a reply
	frameMessage                      // server to client: one streamed message
	frameReply                        // server to client: the call succeeded
	frameError                        // server to client: the call failed
	frameCancel                       // client to server: cancels the call
	frameCredit                       // client to server: allows more messages
	framePing                         // client to server: asks for a pong
	framePong                         // server to client: response to a ping
)

// frame is the unit of transmission. It is encoded as a msgpack array, so fields
// may only be added at the end.
type frame struct {
	//lint:ignore U1000 msgpack reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`

	Kind      frameKind
	Call      uint64 // identifies the call on its connection
	Method    string
	TimeoutMS int64 // remaining time to the caller's deadline; 0 for none
	Credit    int64
	Code      string
	Text      string
	Body      msgpack.RawMessage
}

const headerBytes = 4

// encodeFrame returns the frame with its length prefix.
func encodeFrame(f *frame) ([]byte, error) {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	if len(body) > MaxFrame {
		return nil, eris.Wrapf(ErrFrameTooLarge, "%d bytes", len(body))
	}
	out := make([]byte, headerBytes+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	copy(out[headerBytes:], body)
	return out, nil
}

// readFrame reads one frame. It checks the length before it allocates memory, and
// the buffer grows only as bytes arrive, so that a hostile or corrupt length prefix
// can't make the reader allocate much memory.
func readFrame(r *bufio.Reader) (*frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return nil, eris.Wrapf(ErrFrameTooLarge, "length prefix announces %d bytes", size)
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return nil, err
	}
	return decodeFrame(body)
}

// readBody reads size bytes. It extends the body by at most growStep bytes before
// each read.
func readBody(r io.Reader, size int) ([]byte, error) {
	const growStep = 64 << 10
	body := make([]byte, 0, min(size, growStep))
	for len(body) < size {
		step := min(size-len(body), growStep)
		from := len(body)
		body = append(body, make([]byte, step)...)
		if _, err := io.ReadFull(r, body[from:]); err != nil {
			return nil, eris.Wrap(err, "read frame body")
		}
	}
	return body, nil
}

func decodeFrame(body []byte) (*frame, error) {
	if err := scan(body); err != nil {
		return nil, err
	}
	var f frame
	if err := msgpack.Unmarshal(body, &f); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if f.Kind < frameRequest || f.Kind > framePong {
		return nil, eris.Wrapf(ErrMalformed, "unknown frame kind %d", f.Kind)
	}
	return &f, nil
}

// encodeBody encodes a message; nil gives an empty body.
func encodeBody(message any) (msgpack.RawMessage, error) {
	if message == nil {
		return nil, nil
	}
	body, err := msgpack.Marshal(message)
	return body, eris.Wrap(err, "encode message")
}

// decodeBody decodes a message; a nil target discards it.
func decodeBody(body msgpack.RawMessage, into any) error {
	if into == nil || len(body) == 0 {
		return nil
	}
	if err := msgpack.Unmarshal(body, into); err != nil {
		return eris.Wrapf(ErrMalformed, "message: %v", err)
	}
	return nil
}
