package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
	"buckthornridge/store/wire"
)

// readRequest reads a JSON message of limited size. On failure it sends the error
// response and returns false.
func readRequest[M any](w http.ResponseWriter, r *http.Request) (M, bool) {
	var zero M
	body, err := readBody(w, r, wire.MaxRequestBytes)
	if err != nil {
		writeError(w, err)
		return zero, false
	}
	message, err := decodeJSON[M](body)
	if err != nil {
		writeError(w, err)
		return zero, false
	}
	return message, true
}

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, eris.Wrapf(store.ErrTooLarge, "body of more than %d bytes", maxBytes)
	}
	if err != nil {
		return nil, eris.Wrapf(store.ErrInvalid, "read body: %v", err)
	}
	return body, nil
}

// decodeJSON decodes exactly one JSON message and rejects unknown fields. It also
// rejects invalid UTF-8, which encoding/json would silently replace.
func decodeJSON[M any](body []byte) (M, error) {
	var message M
	if !utf8.Valid(body) {
		return message, eris.Wrap(store.ErrInvalid, "body is not valid UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&message); err != nil {
		return message, eris.Wrapf(store.ErrInvalid, "malformed body: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return message, eris.Wrap(store.ErrInvalid, "malformed body: more than one message")
	}
	return message, nil
}

// writeResponse sends a message with status 200.
func writeResponse(w http.ResponseWriter, message any) {
	writeJSON(w, http.StatusOK, message)
}

// writeJSON sends a message as JSON. It ignores write errors, since they mean that
// the client has disconnected.
func writeJSON(w http.ResponseWriter, status int, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err) // every message type can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// writeError sends an error response. For an unknown outcome it aborts the
// connection instead, as if the response had been lost.
func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, store.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	code, status := wire.CodeOf(err)
	w.Header().Set(wire.HeaderError, string(code))
	writeJSON(w, status, wire.ErrorResponse{Error: code, Detail: err.Error()})
}

// writeResult sends the message, or the error if there is one.
func writeResult(w http.ResponseWriter, message any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeResponse(w, message)
}
