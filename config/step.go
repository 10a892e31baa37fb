package config

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// Head identifies the highest version that a source has.
type Head struct {
	Version Version `json:"version" msgpack:"v"`
	Digest  string  `json:"digest" msgpack:"d"` // of the image, see Image.Digest
}

// Step is the change from one version to a later one. A step from version 0
// holds the full document.
type Step struct {
	From   Version `msgpack:"f"`
	To     Version `msgpack:"t"`
	Digest string  `msgpack:"d"` // of the image at To
	Data   []byte  `msgpack:"b"` // a packed Delta
}

// Fetcher is a source of accepted versions: the table or a peer.
type Fetcher interface {
	// Head returns the highest version that the source has; 0 if none.
	Head(ctx context.Context) (Head, error)
	// Since returns the steps from version from to the source's head. They start
	// at 0 if the source no longer has the steps after from. The result is empty
	// if the head is not above from.
	Since(ctx context.Context, from Version) ([]Step, error)
}

// ErrCorrupt reports a step that yields an image with a different digest.
var ErrCorrupt = eris.New("config: data does not match its digest")

// maxUnpackedBytes limits the size of an unpacked delta. Without it, a few
// corrupted bytes could exhaust the memory.
const maxUnpackedBytes = 64 << 20

// Pack encodes a delta as compressed JSON for the table and for peers.
func (d Delta) Pack() ([]byte, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "pack delta")
	}
	if len(text) > maxUnpackedBytes {
		return nil, eris.Errorf("config: delta has %d bytes, limit %d", len(text), maxUnpackedBytes)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "pack delta")
	}
	if _, err := w.Write(text); err != nil {
		return nil, eris.Wrap(err, "pack delta")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack delta")
	}
	return packed.Bytes(), nil
}

// UnpackDelta decodes what Pack encoded.
func UnpackDelta(packed []byte) (Delta, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1)
	text, err := io.ReadAll(r)
	if err != nil {
		return Delta{}, eris.Wrap(err, "unpack delta")
	}
	if len(text) > maxUnpackedBytes {
		return Delta{}, eris.Errorf("config: delta has more than %d bytes", maxUnpackedBytes)
	}
	var delta Delta
	if err := json.Unmarshal(text, &delta); err != nil {
		return Delta{}, eris.Wrap(err, "unpack delta")
	}
	return delta, nil
}

// State is one version with its image and its document. Later steps are applied
// to it. It is immutable.
type State struct {
	Head
	Image    Image
	Document Document
}

// ApplySteps returns the state after steps. It fails, and s stays unchanged, if a
// step does not start at the version before it or its digest does not match.
func (s State) ApplySteps(steps []Step) (State, error) {
	for _, step := range steps {
		next, err := s.applyStep(step)
		if err != nil {
			return State{}, eris.Wrapf(err, "step from version %d to %d", step.From, step.To)
		}
		s = next
	}
	return s, nil
}

func (s State) applyStep(step Step) (State, error) {
	if step.From == 0 {
		s = State{}
	}
	if step.From != s.Version || step.To <= step.From {
		return State{}, eris.Errorf("config: step does not start at version %d", s.Version)
	}
	delta, err := UnpackDelta(step.Data)
	if err != nil {
		return State{}, err
	}
	next := State{Head: Head{Version: step.To, Digest: step.Digest}, Image: s.Image.Apply(delta)}
	if next.Image.Digest() != step.Digest {
		return State{}, ErrCorrupt
	}
	next.Document, err = updateDocument(s.Document, next.Image, delta)
	return next, err
}
