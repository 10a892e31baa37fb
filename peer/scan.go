package peer

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Bounds of one frame: its values, nested ones included, and how deep they nest.
// The decoder recurses, and a stack that overflows ends the process.
const (
	maxItems = 1 << 20
	maxDepth = 64
)

// scan walks over the msgpack values of a frame and refuses one whose lists or
// maps announce more elements than bytes follow. It guards against a body of ten
// bytes that announces 800 million elements: the decoder takes memory for them
// before it reads any, and the process ends out of memory. Every element takes
// at least one byte, so that what is announced is bounded by what was sent.
func scan(frame []byte) error {
	items, due, at := 0, 1, 0
	var open []int // values due when the lists and maps around are complete
	for due > 0 {
		if at >= len(frame) || items > maxItems || len(open) > maxDepth {
			return eris.Wrapf(ErrMalformed, "value %d of a frame of %d bytes, %d deep", items, len(frame), len(open))
		}
		for len(open) > 0 && open[len(open)-1] == due {
			open = open[:len(open)-1]
		}
		skip, elements := shape(frame[at:])
		if skip == 0 || skip > len(frame)-at {
			return eris.Wrapf(ErrMalformed, "value at byte %d of %d", at, len(frame))
		}
		at += skip
		items++
		if elements > 0 {
			open = append(open, due-1)
		}
		due += elements - 1
		if due > len(frame)-at {
			return eris.Wrapf(ErrMalformed, "%d values announced, %d bytes left", due, len(frame)-at)
		}
	}
	if at != len(frame) {
		return eris.Wrapf(ErrMalformed, "%d bytes after the value", len(frame)-at)
	}
	return nil
}

// The ranges of msgpack's first byte that carry a length in themselves.
const (
	fixMap   = 0x80
	fixArray = 0x90
	fixStr   = 0xa0
	nilCode  = 0xc0
	negative = 0xe0
)

// form describes values whose first byte has no length in itself.
type form struct {
	size   int // bytes of the length, or of the value if it has no length
	sized  bool
	extra  int // bytes beside
	nested int // values per element: 1 in arrays, 2 in maps
}

// forms are those of the first bytes 0xc4 to 0xdf.
var forms = [...]form{
	{size: 1, sized: true}, {size: 2, sized: true}, {size: 4, sized: true}, // bin
	0xc7 - 0xc4: {size: 1, sized: true, extra: 1}, {size: 2, sized: true, extra: 1}, {size: 4, sized: true, extra: 1}, // ext
	0xca - 0xc4: {size: 4}, {size: 8}, // float
	0xcc - 0xc4: {size: 1}, {size: 2}, {size: 4}, {size: 8}, // uint
	0xd0 - 0xc4: {size: 1}, {size: 2}, {size: 4}, {size: 8}, // int
	0xd4 - 0xc4: {size: 2}, {size: 3}, {size: 5}, {size: 9}, {size: 17}, // fixext with type
	0xd9 - 0xc4: {size: 1, sized: true}, {size: 2, sized: true}, {size: 4, sized: true}, // str
	0xdc - 0xc4: {size: 2, sized: true, nested: 1}, {size: 4, sized: true, nested: 1}, // array
	0xde - 0xc4: {size: 2, sized: true, nested: 2}, {size: 4, sized: true, nested: 2}, // map
}

// shape returns the bytes of the first value, without its elements, and how many
// elements follow. skip is 0 for a byte that begins no value.
func shape(b []byte) (skip, elements int) {
	code := b[0]
	switch {
	case code < fixMap || code >= negative:
		return 1, 0
	case code < fixArray:
		return 1, 2 * int(code&0x0f)
	case code < fixStr:
		return 1, int(code & 0x0f)
	case code < nilCode:
		return 1 + int(code&0x1f), 0
	case code == 0xc1:
		return 0, 0 // never used
	case code < 0xc4:
		return 1, 0 // nil, false, true
	}
	return forms[code-0xc4].measure(b[1:])
}

func (f form) measure(rest []byte) (skip, elements int) {
	if !f.sized {
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
