package membership

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// errMalformed reports that a peer sent bytes that are not a valid message.
var errMalformed = eris.New("membership: malformed message")

const (
	keyBytes          = 8
	maxHeartbeatBytes = keyBytes + binary.MaxVarintLen64
)

// Heartbeats are encoded as one byte string with 9 to 11 bytes for each: the key,
// then the sequence as a varint. They are nearly all of the bytes that gossip
// sends.
type Heartbeats []Heartbeat

var (
	_ msgpack.CustomEncoder = Heartbeats(nil)
	_ msgpack.CustomDecoder = (*Heartbeats)(nil)
	_ msgpack.CustomDecoder = (*Updates)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (b Heartbeats) EncodeMsgpack(e *msgpack.Encoder) error {
	packed := make([]byte, 0, len(b)*11)
	for _, heartbeat := range b {
		packed = binary.BigEndian.AppendUint64(packed, heartbeat.Key)
		packed = binary.AppendUvarint(packed, heartbeat.Sequence)
	}
	return e.EncodeBytes(packed)
}

// DecodeMsgpack implements msgpack.CustomDecoder. It rejects more than
// maxHeartbeats.
func (b *Heartbeats) DecodeMsgpack(d *msgpack.Decoder) error {
	size, err := d.DecodeBytesLen()
	if err != nil {
		return err
	}
	if size > maxHeartbeats*maxHeartbeatBytes {
		return eris.Wrapf(errMalformed, "%d bytes of heartbeats exceed the limit", size)
	}
	packed := make([]byte, max(size, 0))
	if err := d.ReadFull(packed); err != nil {
		return err
	}
	*b = nil
	for len(packed) > 0 {
		if len(packed) < keyBytes || len(*b) == maxHeartbeats {
			return eris.Wrap(errMalformed, "heartbeats")
		}
		key := binary.BigEndian.Uint64(packed)
		sequence, n := binary.Uvarint(packed[keyBytes:])
		if n <= 0 {
			return eris.Wrap(errMalformed, "heartbeat has an invalid sequence")
		}
		*b = append(*b, Heartbeat{Key: key, Sequence: sequence})
		packed = packed[keyBytes+n:]
	}
	return nil
}

// Updates is the list of updates in a message.
type Updates []Update

// DecodeMsgpack implements msgpack.CustomDecoder. It checks the announced length
// before it allocates memory: the library would allocate whatever a hostile message
// of ten bytes announces, and the process would run out of memory.
func (t *Updates) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxExchangeMembers {
		return eris.Wrapf(errMalformed, "%d members announced", n)
	}
	*t = nil
	for range n {
		var update Update
		if err := d.Decode(&update); err != nil {
			return err
		}
		*t = append(*t, update)
	}
	return nil
}
