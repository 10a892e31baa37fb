package store

import "github.com/rotisserie/eris"

// callError combines one of the errors of this package, which tells the caller
// what the failed call means, with the cause, so that errors.Is matches both.
type callError struct {
	meaning error
	cause   error
}

func (e *callError) Error() string   { return e.meaning.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.meaning, e.cause} }

// CallError returns the error of a failed step against a peer. meaning is one of the
// errors of this package; cause may be nil.
func CallError(step, peer string, meaning, cause error) error {
	if cause == nil {
		return eris.Wrapf(meaning, "%s %s", step, peer)
	}
	return eris.Wrapf(&callError{meaning, cause}, "%s %s", step, peer)
}

// ConflictError is an ErrConditionFailed with the current rows that the conditions
// name, as far as the table service returns them.
type ConflictError struct{ Rows []Row }

// Error implements error.
func (e *ConflictError) Error() string { return ErrConditionFailed.Error() }

// Unwrap returns ErrConditionFailed.
func (e *ConflictError) Unwrap() error { return ErrConditionFailed }
