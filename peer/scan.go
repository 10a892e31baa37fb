package peer

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Bounds of one frame: the number of its values, nested ones included, and the
// nesting depth. The decoder recurses, and a stack overflow ends the process.
const (
	maxItems = 1 << 20
	maxDepth = 64
)

// scan validates the msgpack values of a frame and rejects a frame whose arrays or
// maps announce more elements than bytes follow. It guards against a body of ten
// bytes that announces 800 million elements: the decoder allocates memory for them
// before it reads any, and the process runs out of memory. Each element takes at
// least one byte, so the announced number is bounded by the bytes received.
func scan(frame []byte) error {
	items, pending, offset := 0, 1, 0
	var pendingAfter []int // for each enclosing array or map, the values pending after it
	for pending > 0 {
		if offset >= len(frame) || items > maxItems || len(pendingAfter) > maxDepth {
			return eris.Wrapf(ErrMalformed, "value %d of a frame of %d bytes, nested %d deep: frame is truncated or exceeds a limit", items, len(frame), len(pendingAfter))
		}
		for len(pendingAfter) > 0 && pendingAfter[len(pendingAfter)-1] == pending {
			pendingAfter = pendingAfter[:len(pendingAfter)-1]
		}
		valueBytes, nestedValues := valueHeader(frame[offset:])
		if valueBytes == 0 || valueBytes > len(frame)-offset {
			return eris.Wrapf(ErrMalformed, "invalid or truncated value at byte %d of %d", offset, len(frame))
		}
		offset += valueBytes
		items++
		if nestedValues > 0 {
			pendingAfter = append(pendingAfter, pending-1)
		}
		pending += nestedValues - 1
		if pending > len(frame)-offset {
			return eris.Wrapf(ErrMalformed, "%d values announced, %d bytes remaining", pending, len(frame)-offset)
		}
	}
	if offset != len(frame) {
		return eris.Wrapf(ErrMalformed, "%d unexpected bytes after the value", len(frame)-offset)
	}
	return nil
}

// The bounds of the ranges of msgpack's first byte in which the byte itself
// contains a length or a small integer.
const (
	fixMap         = 0x80
	fixArray       = 0x90
	fixStr         = 0xa0
	nilCode        = 0xc0
	negativeFixInt = 0xe0
)

// format describes values whose first byte does not contain their length.
type format struct {
	size      int // bytes of the length field, or of the value if it has none
	hasLength bool
	extra     int // bytes between the length field and the value
	nested    int // values per element: 1 in arrays, 2 in maps, 0 otherwise
}

// formats are the formats of the first bytes 0xc4 to 0xdf.
var formats = [...]format{
	{size: 1, hasLength: true}, {size: 2, hasLength: true}, {size: 4, hasLength: true}, // bin
	0xc7 - 0xc4: {size: 1, hasLength: true, extra: 1}, {size: 2, hasLength: true, extra: 1}, {size: 4, hasLength: true, extra: 1}, // ext
	0xca - 0xc4: {size: 4}, {size: 8}, // float
	0xcc - 0xc4: {size: 1}, {size: 2}, {size: 4}, {size: 8}, // uint
	0xd0 - 0xc4: {size: 1}, {size: 2}, {size: 4}, {size: 8}, // int
	0xd4 - 0xc4: {size: 2}, {size: 3}, {size: 5}, {size: 9}, {size: 17}, // fixext with type
	0xd9 - 0xc4: {size: 1, hasLength: true}, {size: 2, hasLength: true}, {size: 4, hasLength: true}, // str
	0xdc - 0xc4: {size: 2, hasLength: true, nested: 1}, {size: 4, hasLength: true, nested: 1}, // array
	0xde - 0xc4: {size: 2, hasLength: true, nested: 2}, {size: 4, hasLength: true, nested: 2}, // map
}

// valueHeader returns the size of the first value, without its elements, and the number
// of values nested directly in it. The size is 0 if b starts with no valid value.
func valueHeader(b []byte) (valueBytes, nestedValues int) {
	code := b[0]
	switch {
	case code < fixMap || code >= negativeFixInt:
		return 1, 0
	case code < fixArray:
		return 1, 2 * int(code&0x0f)
	case code < fixStr:
		return 1, int(code & 0x0f)
	case code < nilCode:
		return 1 + int(code&0x1f), 0
	case code == 0xc1:
		return 0, 0 // never used by msgpack
	case code < 0xc4:
		return 1, 0 // nil, false, true
	}
	return formats[code-0xc4].measure(b[1:])
}

// measure does the same as valueHeader for a value of this format, of which rest are the
// bytes after the first.
func (f format) measure(rest []byte) (valueBytes, nestedValues int) {
	if !f.hasLength {
		return 1 + f.size, 0
	}
	if len(rest) < f.size {
		return 0, 0
	}
	length := readLength(rest[:f.size])
	if f.nested > 0 {
		return 1 + f.size, length * f.nested
	}
	return 1 + f.size + f.extra + length, 0
}

func readLength(b []byte) int {
	switch len(b) {
	case 1:
		return int(b[0])
	case 2:
		return int(binary.BigEndian.Uint16(b))
	}
	return int(binary.BigEndian.Uint32(b))
}
