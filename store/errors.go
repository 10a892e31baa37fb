package store

import "github.com/rotisserie/eris"

// callError joins what a failed call means for the caller, one of the errors of
// this package, with its cause, so that errors.Is finds both.
type callError struct {
	meaning error
	cause   error
}

func (e *callError) Error() string   { return e.meaning.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.meaning, e.cause} }

// Failed gives the error of a step against a peer: meaning is one of the errors
// of this package, cause may be nil.
func Failed(step, peer string, meaning, cause error) error {
	if cause == nil {
		return eris.Wrapf(meaning, "%s %s", step, peer)
	}
	return eris.Wrapf(&callError{meaning, cause}, "%s %s", step, peer)
}

// ConflictError is an ErrConditionFailed that tells what the rows of the conditions
// are now, where the table service says so.
type ConflictError struct{ Rows []Row }

// Error implements error.
func (e *ConflictError) Error() string { return ErrConditionFailed.Error() }

// Unwrap returns ErrConditionFailed.
func (e *ConflictError) Unwrap() error { return ErrConditionFailed }
