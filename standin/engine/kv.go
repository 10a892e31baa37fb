package engine

import (
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"time"

	"buckthornridge/upstream/wire"
)

// exportKV returns the KV cache of a prefix as an opaque blob: the model's name,
// then for each block its hash and KVBytesPerBlock zero bytes in place of the
// real KV data.
func (e *Engine) exportKV(prefix uint64) (blob []byte, found bool) {
	e.mu.Lock()
	model, chain, found := e.core.cache.export(prefix)
	e.mu.Unlock()
	if !found {
		return nil, false
	}
	blob = binary.AppendUvarint(nil, uint64(len(model)))
	blob = append(blob, model...)
	filler := make([]byte, int(e.settings.KVBytesPerBlock))
	for _, hash := range chain {
		blob = binary.LittleEndian.AppendUint64(blob, hash)
		blob = append(blob, filler...)
	}
	return blob, true
}

// importKV adds an exported prefix to the cache. It returns the error code of the
// refusal, if any.
func (e *Engine) importKV(prefix uint64, blob []byte) (refusal string) {
	model, chain, ok := decodeKV(blob, int(e.settings.KVBytesPerBlock))
	if !ok || chain[len(chain)-1] != prefix {
		return wire.ErrorMalformed
	}
	if !e.models.ready(model, "") {
		return wire.ErrorModelNotLoaded
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.events.now = time.Now()
	e.core.cache.store(model, chain)
	return ""
}

func decodeKV(blob []byte, bytesPerBlock int) (model string, chain []uint64, ok bool) {
	const hashBytes = 8
	size, used := binary.Uvarint(blob)
	if used <= 0 || size > uint64(len(blob)-used) {
		return "", nil, false
	}
	model = string(blob[used : used+int(size)])
	blob = blob[used+int(size):]
	if len(blob) == 0 || len(blob)%(hashBytes+bytesPerBlock) != 0 {
		return "", nil, false
	}
	for len(blob) > 0 {
		chain = append(chain, binary.LittleEndian.Uint64(blob))
		blob = blob[hashBytes+bytesPerBlock:]
	}
	return model, chain, true
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	prefix, err := strconv.ParseUint(r.PathValue("prefix"), 16, 64)
	if err != nil {
		e.refuse(w, wire.ErrorMalformed)
		return
	}
	blob, found := e.exportKV(prefix)
	if !found {
		e.refuse(w, wire.ErrorNoStream)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(blob) // fails only if the client has disconnected
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	prefix, err := strconv.ParseUint(r.PathValue("prefix"), 16, 64)
	if err != nil {
		e.refuse(w, wire.ErrorMalformed)
		return
	}
	blob, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		e.refuse(w, wire.ErrorMalformed)
		return
	}
	if refusal := e.importKV(prefix, blob); refusal != "" {
		e.refuse(w, refusal)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
