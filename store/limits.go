package store

import (
	"io/fs"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// CheckTxn returns ErrInvalid for a malformed transaction and ErrTooLarge for one
// over the limits.
func CheckTxn(txn Txn) error {
	if len(txn.Writes) == 0 {
		return eris.Wrap(ErrInvalid, "transaction without writes")
	}
	if len(txn.Writes) > MaxTxnRows || len(txn.Conditions) > MaxTxnRows {
		return eris.Wrapf(ErrTooLarge, "transaction of more than %d rows", MaxTxnRows)
	}
	if err := checkConditions(txn.Conditions); err != nil {
		return err
	}
	return checkWrites(txn.Writes)
}

func checkConditions(conditions []Condition) error {
	seen := make(map[string]struct{}, len(conditions))
	for _, c := range conditions {
		if err := checkTxnKey(seen, c.Key); err != nil {
			return err
		}
		if c.Version < 0 {
			return eris.Wrapf(ErrInvalid, "condition on %q with a negative version", c.Key)
		}
	}
	return nil
}

func checkWrites(writes []Write) error {
	total := 0
	seen := make(map[string]struct{}, len(writes))
	for _, w := range writes {
		if err := checkTxnKey(seen, w.Key); err != nil {
			return err
		}
		if len(w.Value) > MaxValueBytes {
			return eris.Wrapf(ErrTooLarge, "value of %q has %d bytes", w.Key, len(w.Value))
		}
		if w.Delete && len(w.Value) > 0 {
			return eris.Wrapf(ErrInvalid, "deletion of %q with a value", w.Key)
		}
		total += len(w.Key) + len(w.Value)
	}
	if total > MaxTxnBytes {
		return eris.Wrapf(ErrTooLarge, "transaction of %d bytes", total)
	}
	return nil
}

func checkTxnKey(seen map[string]struct{}, key string) error {
	if err := checkKey(key); err != nil {
		return err
	}
	if _, duplicate := seen[key]; duplicate {
		return eris.Wrapf(ErrInvalid, "duplicate key %q", key)
	}
	seen[key] = struct{}{}
	return nil
}

// CheckKeys returns ErrInvalid for malformed keys of a Read and ErrTooLarge for
// too long or too many keys.
func CheckKeys(keys []string) error {
	if len(keys) > MaxTxnRows {
		return eris.Wrapf(ErrTooLarge, "read of %d rows", len(keys))
	}
	for _, key := range keys {
		if err := checkKey(key); err != nil {
			return err
		}
	}
	return nil
}

func checkKey(key string) error {
	if key == "" {
		return eris.Wrap(ErrInvalid, "empty key")
	}
	return checkText(key, MaxKeyBytes)
}

// CheckScan returns ErrInvalid for malformed parameters of a Scan and ErrTooLarge
// for parameters over the limits.
func CheckScan(prefix, after string, limit int) error {
	if limit <= 0 {
		return eris.Wrapf(ErrInvalid, "scan with limit %d", limit)
	}
	if limit > MaxScanRows {
		return eris.Wrapf(ErrTooLarge, "scan with limit %d", limit)
	}
	if err := checkText(prefix, MaxKeyBytes); err != nil {
		return err
	}
	return checkText(after, MaxKeyBytes)
}

// CheckObject returns ErrInvalid for a malformed object name and ErrTooLarge for
// a name or data over the limits.
func CheckObject(name string, data []byte) error {
	if err := checkText(name, MaxNameBytes); err != nil {
		return err
	}
	if !fs.ValidPath(name) || name == "." {
		return eris.Wrapf(ErrInvalid, "malformed object name %q", name)
	}
	if len(data) > MaxObjectBytes {
		return eris.Wrapf(ErrTooLarge, "object %q has %d bytes", name, len(data))
	}
	return nil
}

// CheckVM returns ErrInvalid for a malformed entry of the VM list and ErrTooLarge
// for one whose fields are too long.
func CheckVM(vm VM) error {
	if vm.ID == "" || vm.Incarnation == "" {
		return eris.Wrap(ErrInvalid, "VM without id or incarnation")
	}
	for _, text := range []string{vm.ID, vm.Incarnation, vm.Role, vm.DataCentre, vm.Region, vm.Address, vm.PeerAddress} {
		if err := checkText(text, MaxNameBytes); err != nil {
			return err
		}
	}
	return CheckState(vm.State)
}

// CheckState returns ErrInvalid for an unknown state.
func CheckState(state VMState) error {
	switch state {
	case VMLive, VMLeaving, VMGone:
		return nil
	}
	return eris.Wrapf(ErrInvalid, "unknown VM state %q", state)
}

// checkText rejects text that JSON can't represent: it would arrive as a
// different key, and a condition would name a row that was never written.
func checkText(text string, limit int) error {
	if len(text) > limit {
		return eris.Wrapf(ErrTooLarge, "text of %d bytes exceeds the limit of %d", len(text), limit)
	}
	if !utf8.ValidString(text) {
		return eris.Wrapf(ErrInvalid, "%q is not valid UTF-8", text)
	}
	return nil
}

// CheckPrefix returns ErrInvalid for a malformed prefix of an object list and
// ErrTooLarge for one that is too long.
func CheckPrefix(prefix string) error { return checkText(prefix, MaxNameBytes) }
