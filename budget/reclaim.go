package budget

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/pause"
	"buckthornridge/store"
)

// Bounds of one pass of a Reclaimer.
const (
	reclaimBatch   = 50 // budgets in one transaction
	reclaimRetries = 8  // after write conflicts or lost answers
)

// holderSeparator separates the VM id from the incarnation in a holder's name.
const holderSeparator = "#"

// HolderName names an incarnation of a VM as a holder of grants.
func HolderName(vmID, incarnation string) string { return vmID + holderSeparator + incarnation }

// Reclaimer frees the grants of holders that are gone. It acts only on the
// platform's statement that an incarnation is gone, never on a timeout: a paused
// router may resume in the middle of a dispatch. Before it frees anything it seals
// the holder's journal, so that a router that the platform wrongly declared gone
// can neither bill nor take grants any more. Any number of reclaimers may run
// concurrently.
type Reclaimer struct {
	Table store.Table
	VMs   store.VMList
	// Fencer reaches the witnesses; with nil every holder that has a witness counts
	// as having entered outage mode.
	Fencer WitnessFencer
}

// ReclaimStats counts what a pass did.
type ReclaimStats struct {
	Sealed  int   `json:"sealed"`  // journals sealed
	Holders int   `json:"holders"` // holders removed completely
	Budgets int   `json:"budgets"`
	Freed   int64 `json:"freed_tokens"`
	Lost    int64 `json:"lost_tokens"`
}

// Run makes one bounded pass. An error with one holder does not end the pass.
func (r Reclaimer) Run(ctx context.Context) (ReclaimStats, error) {
	r.Table = ledger.WithTimeout(r.Table)
	var stats ReclaimStats
	vms, _, err := r.VMs.List(ctx)
	if err != nil {
		return stats, eris.Wrapf(err, "reclaim: list VMs")
	}
	holders, err := journal.Holders(ctx, r.Table)
	if err != nil {
		return stats, err
	}
	var all error
	for _, holder := range holders {
		if err := r.reclaimHolder(ctx, holder, vms, &stats); err != nil {
			all = errors.Join(all, eris.Wrapf(err, "reclaim %s", holder))
		}
	}
	return stats, all
}

// isGone reports whether an incarnation no longer runs according to the platform:
// the VM list has it as gone, or has a later one of the same VM. A holder that is
// not listed may be newer than a lagging list.
func isGone(vms []store.VM, holder string) bool {
	id, incarnation, _ := strings.Cut(holder, holderSeparator)
	for _, vm := range vms {
		if vm.ID != id {
			continue
		}
		if vm.Incarnation == incarnation && vm.State == store.VMGone {
			return true
		}
		if store.OlderIncarnation(incarnation, vm.Incarnation) {
			return true
		}
	}
	return false
}

// reclaimHolder seals the journal of a holder that is gone. It frees the grants of
// a holder whose journal is sealed, by any process, and folded completely.
func (r Reclaimer) reclaimHolder(ctx context.Context, holder string, vms []store.VM, stats *ReclaimStats) error {
	sealed, err := r.seal(ctx, holder, isGone(vms, holder), stats)
	if err != nil || !sealed {
		return err
	}
	_, complete, err := journal.Folder{Table: r.Table}.FoldHolder(ctx, holder)
	if err != nil || !complete {
		return err
	}
	for retries := 1; ; retries++ {
		more, err := r.freeBatch(ctx, holder, vms, stats)
		if err == nil && !more {
			return nil
		}
		if err == nil {
			retries = 0
			continue
		}
		lostRace := errors.Is(err, store.ErrConditionFailed) || errors.Is(err, store.ErrOutcomeUnknown)
		if !lostRace || retries > reclaimRetries {
			return err
		}
		if err := pause.For(ctx, minBackoff*time.Duration(retries)); err != nil {
			return err
		}
	}
}

// seal reports whether the journal is sealed, and seals it if its holder is gone.
// The next pass resolves a lost answer.
func (r Reclaimer) seal(ctx context.Context, holder string, gone bool, stats *ReclaimStats) (bool, error) {
	key := ledger.LivenessKey(holder)
	rows, err := r.Table.Read(ctx, key)
	if err != nil {
		return false, eris.Wrapf(err, "read liveness row")
	}
	if rows[0].Version == 0 || !gone {
		return rows[0].Version == 0, nil
	}
	_, err = r.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Version: rows[0].Version}},
		Writes:     []store.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		return false, eris.Wrapf(err, "seal")
	}
	stats.Sealed++
	klog.InfoS("sealed the journal of a router that is gone", "holder", holder)
	return true, nil
}

// freeBatch reclaims up to reclaimBatch of the holder's budgets in one transaction,
// or removes the holder once none are left. The condition on the fold row ensures
// that the open reservations are those of the whole journal.
func (r Reclaimer) freeBatch(ctx context.Context, holder string, vms []store.VM, stats *ReclaimStats) (more bool, err error) {
	foldKey := ledger.FoldKey(holder)
	rows, err := r.Table.Read(ctx, foldKey)
	if err != nil || rows[0].Version == 0 {
		return false, eris.Wrapf(err, "read fold state")
	}
	fold := rows[0]
	var state journal.FoldState
	if err := ledger.Decode(foldKey, fold.Value, &state); err != nil {
		return false, err
	}
	txn := store.Txn{Conditions: []store.Condition{{Key: foldKey, Version: fold.Version}}}
	listed, err := r.Table.Scan(ctx, ledger.HeldByPrefix(holder), "", reclaimBatch)
	if err != nil {
		return false, eris.Wrapf(err, "scan held budgets")
	}
	if len(listed) == 0 {
		return r.removeHolder(ctx, holder, txn, stats)
	}
	one, err := r.planReclaim(ctx, holder, vms, state, listed, &txn)
	if err != nil {
		return false, err
	}
	if _, err := r.Table.Commit(ctx, txn); err != nil {
		return false, eris.Wrapf(err, "free grants")
	}
	stats.Budgets += one.Budgets
	stats.Freed += one.Freed
	stats.Lost += one.Lost
	return true, nil
}

// removeHolder deletes the remaining rows of a holder that holds nothing: the fold
// row, and segments that were sent again after a lost answer and arrived after the
// fold had deleted the first copy. No fold ever reads those.
func (r Reclaimer) removeHolder(ctx context.Context, holder string, txn store.Txn, stats *ReclaimStats) (more bool, err error) {
	stray, err := r.Table.Scan(ctx, ledger.SegmentsPrefix(holder), "", reclaimBatch)
	if err != nil {
		return false, eris.Wrapf(err, "scan segments")
	}
	for _, row := range stray {
		txn.Writes = append(txn.Writes, store.Write{Key: row.Key, Delete: true})
	}
	if len(stray) == 0 {
		txn.Writes = []store.Write{{Key: ledger.FoldKey(holder), Delete: true}}
	}
	_, err = r.Table.Commit(ctx, txn)
	if err == nil && len(stray) == 0 {
		stats.Holders++
	}
	return len(stray) > 0, eris.Wrapf(err, "remove holder")
}

// enteredOutage reports whether a holder may have exceeded its small exposure. Its
// journal is sealed, so that the witness's answer is final. If a live witness does
// not answer, the holder is left for the next pass; if the witness is gone, the
// holder counts as having entered outage mode.
func (r Reclaimer) enteredOutage(ctx context.Context, holder, witness string, vms []store.VM) (bool, error) {
	if witness == "" {
		return false, nil // there is no separate outage exposure
	}
	if r.Fencer == nil || isGone(vms, witness) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	entered, err := r.Fencer.Fence(ctx, witness, holder)
	return entered, eris.Wrapf(err, "ask witness %s", witness)
}

func (r Reclaimer) planReclaim(ctx context.Context, holder string, vms []store.VM, state journal.FoldState, listed []store.Row, txn *store.Txn) (ReclaimStats, error) {
	var stats ReclaimStats
	ids := make([]ID, len(listed))
	keys := make([]string, len(listed))
	for i, row := range listed {
		id, err := ledger.ParseID(ledger.HeldByPrefix(holder), row.Key)
		if err != nil {
			return stats, err
		}
		ids[i], keys[i] = id, ledger.BudgetKey(id)
		txn.Writes = append(txn.Writes, store.Write{Key: row.Key, Delete: true})
	}
	rows, err := r.Table.Read(ctx, keys...)
	if err != nil {
		return stats, eris.Wrapf(err, "read budgets")
	}
	open := map[ID][]journal.OpenReservation{}
	for _, entry := range state.Open {
		open[entry.Budget] = append(open[entry.Budget], entry)
	}
	for i, row := range rows {
		var budget ledger.Budget
		if err := ledger.Decode(row.Key, row.Value, &budget); err != nil {
			return stats, err
		}
		outage, err := r.enteredOutage(ctx, holder, budget.Holders[holder].Witness, vms)
		if err != nil {
			return stats, err
		}
		unsettled, orphans, err := r.unsettled(ctx, ids[i], &budget, open[ids[i]])
		if err != nil {
			return stats, err
		}
		held := budget.Holders[holder].Held
		lost := budget.Reclaim(holder, orphans, unsettled, outage)
		stats.Budgets++
		stats.Lost += lost
		stats.Freed += held - lost
		txn.Conditions = append(txn.Conditions, store.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, store.Write{Key: row.Key, Value: ledger.Encode(&budget)})
	}
	return stats, nil
}

// unsettled sums the ceilings of open reservations, except for runs that another
// holder resumed and billed whole, and lists the runs that another holder may
// still resume. Billing a resumed run changes the budget's row, and the reclaim is
// conditional on the version of that row.
func (r Reclaimer) unsettled(ctx context.Context, id ID, budget *ledger.Budget, open []journal.OpenReservation) (int64, []ledger.Orphan, error) {
	var runs []string
	for _, entry := range open {
		if entry.Run != "" {
			runs = append(runs, entry.Run)
		}
	}
	billed, err := journal.BilledRuns(ctx, r.Table, id, budget, runs)
	if err != nil {
		return 0, nil, err
	}
	var tokens int64
	var orphans []ledger.Orphan
	for _, entry := range open {
		if billed[entry.Run] {
			continue
		}
		tokens += entry.Ceiling
		if entry.Run != "" {
			orphan := ledger.Orphan{Run: journal.RunHash(entry.Run), Tokens: entry.Ceiling, LostAt: time.Now().UnixMilli()}
			orphans = append(orphans, orphan)
		}
	}
	return tokens, orphans, nil
}
