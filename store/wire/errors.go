package wire

import (
	"errors"
	"net/http"

	"buckthornridge/store"
)

// CodeOf returns the code and HTTP status of an error; an error that is none of
// package platform counts as an unknown outcome.
func CodeOf(err error) (Code, int) {
	for _, kind := range errorKinds {
		if errors.Is(err, kind.err) {
			return kind.code, kind.status
		}
	}
	return "outcome-unknown", http.StatusGatewayTimeout
}

// ErrorOf returns the error of a code, store.ErrOutcomeUnknown for a code
// that it doesn't know.
func ErrorOf(code Code) error {
	for _, kind := range errorKinds {
		if kind.code == code {
			return kind.err
		}
	}
	return store.ErrOutcomeUnknown
}
