package store

import (
	"io/fs"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// CheckTxn reports what makes a transaction malformed (ErrInvalid) or too large
// (ErrTooLarge).
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
	if _, twice := seen[key]; twice {
		return eris.Wrapf(ErrInvalid, "key %q twice", key)
	}
	seen[key] = struct{}{}
	return nil
}

// CheckKeys reports what makes the keys of a Read malformed or too many.
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

// CheckScan reports what makes a Scan malformed or too large.
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

// CheckObject reports what makes an object's name malformed or its data too
// large.
func CheckObject(name string, data []byte) error {
	if err := checkText(name, MaxNameBytes); err != nil {
		return err
	}
	if !fs.ValidPath(name) || name == "." {
		return eris.Wrapf(ErrInvalid, "object name %q", name)
	}
	if len(data) > MaxObjectBytes {
		return eris.Wrapf(ErrTooLarge, "object %q has %d bytes", name, len(data))
	}
	return nil
}

// CheckVM reports what makes an entry of the VM list malformed.
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

// CheckState reports an unknown state.
func CheckState(state VMState) error {
	switch state {
	case VMLive, VMLeaving, VMGone:
		return nil
	}
	return eris.Wrapf(ErrInvalid, "VM state %q", state)
}

// checkText guards against text that JSON can't carry: it would arrive as
// another key, and a condition would name a row that nobody wrote.
func checkText(text string, limit int) error {
	if len(text) > limit {
		return eris.Wrapf(ErrTooLarge, "text of %d bytes, at most %d", len(text), limit)
	}
	if !utf8.ValidString(text) {
		return eris.Wrapf(ErrInvalid, "%q is no UTF-8", text)
	}
	return nil
}

// CheckPrefix reports what makes the prefix of an object list malformed.
func CheckPrefix(prefix string) error { return checkText(prefix, MaxNameBytes) }
