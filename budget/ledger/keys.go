package ledger

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"buckthornridge/store"
	"github.com/rotisserie/eris"
)

// Prefixes of the rows in the table.
const (
	BudgetPrefix   = "budget/"  // {workspace}/{name}: Budget
	TopUpPrefix    = "topup/"   // {workspace}/{name}/{id}: one applied top-up
	IndexPrefix    = "billed/"  // {workspace}/{name}/{generation}: keys of billed requests
	HeldPrefix     = "held/"    // {holder}/{workspace}/{name}: the holder has a Holding in that budget
	LivenessPrefix = "life/"    // {holder}: exists until the holder's journal is sealed
	FoldPrefix     = "fold/"    // {holder}: the state of the journal's fold
	SegmentPrefix  = "segment/" // {holder}/{sequence}: one group commit of the journal
	AdoptedPrefix  = "adopted/" // {holder}/{writer}/{number}: bills that a holder handed over to another, the writer
)

// BudgetKey returns the key of a budget's row.
func BudgetKey(id ID) string { return BudgetPrefix + path(id) }

// TopUpsPrefix returns the prefix of a budget's top-up rows.
func TopUpsPrefix(id ID) string { return TopUpPrefix + path(id) + "/" }

// TopUpKey returns the key of one top-up.
func TopUpKey(id ID, topUp string) string { return TopUpsPrefix(id) + url.PathEscape(topUp) }

// IndexKey returns the key of one generation of billed requests.
func IndexKey(id ID, generation uint64) string {
	return fmt.Sprintf("%s%s/%016d", IndexPrefix, path(id), generation)
}

// HeldByPrefix returns the prefix of the rows that list a holder's budgets.
func HeldByPrefix(holder string) string { return HeldPrefix + url.PathEscape(holder) + "/" }

// HeldKey returns the key of the row that lists one budget of a holder.
func HeldKey(holder string, id ID) string { return HeldByPrefix(holder) + path(id) }

// LivenessKey returns the key of the row that exists while a journal is not sealed.
func LivenessKey(holder string) string { return LivenessPrefix + url.PathEscape(holder) }

// FoldKey returns the key of a journal's fold state.
func FoldKey(holder string) string { return FoldPrefix + url.PathEscape(holder) }

// SegmentsPrefix returns the prefix of a journal's segments.
func SegmentsPrefix(holder string) string { return SegmentPrefix + url.PathEscape(holder) + "/" }

// SegmentKey returns the key of one segment.
func SegmentKey(holder string, sequence uint64) string {
	return fmt.Sprintf("%s%016d", SegmentsPrefix(holder), sequence)
}

// AdoptedKey returns the key of bills of holder that writer has adopted.
func AdoptedKey(holder, writer string, number uint64) string {
	return fmt.Sprintf("%s%s/%s/%016d", AdoptedPrefix, url.PathEscape(holder), url.PathEscape(writer), number)
}

// ParseID returns the budget at the end of a key under prefix.
func ParseID(prefix, key string) (ID, error) {
	parts := strings.Split(strings.TrimPrefix(key, prefix), "/")
	if !strings.HasPrefix(key, prefix) || len(parts) != 2 {
		return ID{}, eris.Errorf("key %q is not a budget key with prefix %q", key, prefix)
	}
	workspace, err := url.PathUnescape(parts[0])
	if err != nil {
		return ID{}, eris.Wrapf(err, "key %q", key)
	}
	name, err := url.PathUnescape(parts[1])
	return ID{Workspace: workspace, Name: name}, eris.Wrapf(err, "key %q", key)
}

// ParseHolder returns the holder that follows prefix in a key.
func ParseHolder(prefix, key string) (string, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	holder, err := url.PathUnescape(name)
	return holder, eris.Wrapf(err, "key %q", key)
}

// NoEffect reports whether a failed commit certainly changed nothing. Any other
// error, including that of a context that ended, leaves the outcome unknown.
func NoEffect(err error) bool {
	if errors.Is(err, store.ErrOutcomeUnknown) {
		return false
	}
	return errors.Is(err, store.ErrConditionFailed) || errors.Is(err, store.ErrUnavailable) ||
		errors.Is(err, store.ErrRateLimited) || errors.Is(err, store.ErrTooLarge) ||
		errors.Is(err, store.ErrInvalid)
}

func path(id ID) string { return url.PathEscape(id.Workspace) + "/" + url.PathEscape(id.Name) }
