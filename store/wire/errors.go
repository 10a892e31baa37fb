package wire

import (
	"errors"
	"net/http"

	"buckthornridge/store"
)

// CodeOf returns the code and HTTP status of an error. An error that has no code
// counts as an unknown outcome.
func CodeOf(err error) (Code, int) {
	for _, kind := range errorKinds {
		if errors.Is(err, kind.err) {
			return kind.code, kind.status
		}
	}
	return "outcome-unknown", http.StatusGatewayTimeout
}

// ErrorOf returns the error of a code, or store.ErrOutcomeUnknown for an undefined
// code.
func ErrorOf(code Code) error {
	for _, kind := range errorKinds {
		if kind.code == code {
			return kind.err
		}
	}
	return store.ErrOutcomeUnknown
}
