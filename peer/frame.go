package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// frameKind says what a frame carries.
type frameKind uint8

const (
	frameRequest frameKind = iota + 1 // caller to handler: a call begins
	framePush                         // caller to handler: no reply wanted
	frameMessage                      // handler to caller: one streamed message
	frameReply                        // handler to caller: the call ended well
	frameError                        // handler to caller: the call failed
	frameCancel                       // caller to handler: the call is given up
	frameCredit                       // caller to handler: window for more messages
	framePing                         // either way: are you there
	framePong                         // either way: answer to a ping
)

// frame is the unit on the wire. It is encoded as a msgpack array, so fields may
// only be added at the end.
type frame struct {
	//lint:ignore U1000 msgpack reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`

	Kind      frameKind
	Call      uint64 // identifies the call on its connection
	Method    string
	TimeoutMS int64 // time left to the caller's deadline; 0 for none
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

// readFrame reads one frame. The length is checked before any memory is taken
// for it, and the buffer grows with the bytes that really arrive: a hostile or
// broken prefix costs the reader nothing.
func readFrame(r *bufio.Reader) (*frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return nil, eris.Wrapf(ErrFrameTooLarge, "%d bytes announced", size)
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return nil, err
	}
	return decodeFrame(body)
}

// readBody reads size bytes, at first into no more than growStep bytes.
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
		return nil, eris.Wrapf(ErrMalformed, "kind %d", f.Kind)
	}
	return &f, nil
}

// encodeBody packs a message; nil packs to nothing.
func encodeBody(message any) (msgpack.RawMessage, error) {
	if message == nil {
		return nil, nil
	}
	body, err := msgpack.Marshal(message)
	return body, eris.Wrap(err, "encode message")
}

// decodeBody unpacks a message; a nil target ignores it.
func decodeBody(body msgpack.RawMessage, into any) error {
	if into == nil || len(body) == 0 {
		return nil
	}
	if err := msgpack.Unmarshal(body, into); err != nil {
		return eris.Wrapf(ErrMalformed, "message: %v", err)
	}
	return nil
}
