package audit

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/loadtool/record"
	"buckthornridge/store"
)

// ledgerState is what a table dump holds on budgets: the budget rows, and the
// journal entries that are not yet folded into them.
type ledgerState struct {
	budgets map[ledger.ID]*ledger.Budget
	// billed counts how often each request, by the hash of its key, is in the
	// index of billed requests.
	billed map[ledger.ID]map[uint64]int
	// unfoldedBills holds the tokens of bills that are not folded yet, by the hash
	// of the request; if a request has several, the first one counts.
	unfoldedBills map[ledger.ID]map[uint64]int64
	// unfoldedLost holds losses that are not folded yet, by cause.
	unfoldedLost     map[ledger.Cause]int64
	unfoldedSegments int
	// staleSegments counts segments that a late write restored after they had been
	// folded: they are not folded again, and nothing removes them.
	staleSegments int
	// firstUnfolded is the number of the first segment of each journal that is not
	// folded.
	firstUnfolded map[string]uint64
}

const hashBytes = 8

func readLedgerState(rows []store.Row) (*ledgerState, error) {
	s := &ledgerState{
		budgets:       map[ledger.ID]*ledger.Budget{},
		billed:        map[ledger.ID]map[uint64]int{},
		unfoldedBills: map[ledger.ID]map[uint64]int64{},
		unfoldedLost:  map[ledger.Cause]int64{},
		firstUnfolded: map[string]uint64{},
	}
	for _, row := range rows {
		var err error
		switch {
		case strings.HasPrefix(row.Key, ledger.BudgetPrefix):
			err = s.readBudget(row)
		case strings.HasPrefix(row.Key, ledger.IndexPrefix):
			err = s.readIndex(row)
		case strings.HasPrefix(row.Key, ledger.FoldPrefix):
			err = s.readFold(row)
		}
		if err != nil {
			return nil, err
		}
	}
	for _, row := range rows {
		pending := strings.HasPrefix(row.Key, ledger.AdoptedPrefix)
		if strings.HasPrefix(row.Key, ledger.SegmentPrefix) {
			if pending = !s.isFolded(row.Key); !pending {
				s.staleSegments++
			}
		}
		if pending {
			if err := s.readSegment(row); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

func (s *ledgerState) readFold(row store.Row) error {
	holder, err := ledger.ParseHolder(ledger.FoldPrefix, row.Key)
	if err != nil {
		return err
	}
	var state journal.FoldState
	err = ledger.Decode(row.Key, row.Value, &state)
	s.firstUnfolded[holder] = state.Next
	return err
}

// isFolded reports whether the segment's journal is folded beyond it. A journal
// without a fold row has been reclaimed completely and counts as folded.
func (s *ledgerState) isFolded(key string) bool {
	holder, err := ledger.ParseHolder(ledger.SegmentPrefix, key)
	if err != nil {
		return false
	}
	next, known := s.firstUnfolded[holder]
	return !known || key < ledger.SegmentKey(holder, next)
}

func (s *ledgerState) readBudget(row store.Row) error {
	id, err := ledger.ParseID(ledger.BudgetPrefix, row.Key)
	if err != nil {
		return err
	}
	s.budgets[id] = &ledger.Budget{}
	return ledger.Decode(row.Key, row.Value, s.budgets[id])
}

func (s *ledgerState) readIndex(row store.Row) error {
	separator := strings.LastIndexByte(row.Key, '/')
	id, err := ledger.ParseID(ledger.IndexPrefix, row.Key[:separator])
	if err != nil {
		return err
	}
	if s.billed[id] == nil {
		s.billed[id] = map[uint64]int{}
	}
	for at := 0; at+hashBytes <= len(row.Value); at += hashBytes {
		s.billed[id][binary.BigEndian.Uint64(row.Value[at:])]++
	}
	return nil
}

// readSegment reads bills that are not yet folded into the budget rows. A second
// bill of a request counts as lost tokens, as it does in folding.
func (s *ledgerState) readSegment(row store.Row) error {
	var segment journal.Segment
	if err := ledger.Decode(row.Key, row.Value, &segment); err != nil {
		return err
	}
	s.unfoldedSegments++
	for _, e := range segment.Entries {
		switch e.Kind {
		case journal.KindLost:
			s.unfoldedLost[e.Cause] += e.Tokens
		case journal.KindBill:
			s.addUnfoldedBill(e)
		}
	}
	return nil
}

func (s *ledgerState) addUnfoldedBill(e journal.Entry) {
	hash := xxhash.Sum64String(e.Request)
	if _, duplicate := s.unfoldedBills[e.Budget][hash]; duplicate || s.billed[e.Budget][hash] > 0 {
		s.unfoldedLost[ledger.CauseDuplicate] += e.Tokens
		return
	}
	if s.unfoldedBills[e.Budget] == nil {
		s.unfoldedBills[e.Budget] = map[uint64]int64{}
	}
	s.unfoldedBills[e.Budget][hash] = e.Tokens
}

// billCount returns how often a request is billed.
func (s *ledgerState) billCount(id ledger.ID, request string) int {
	hash := xxhash.Sum64String(request)
	times := s.billed[id][hash]
	if _, unfolded := s.unfoldedBills[id][hash]; unfolded {
		times++
	}
	return times
}

// billedTokens returns the tokens that a budget is billed, folded or not.
func (s *ledgerState) billedTokens(id ledger.ID) int64 {
	var sum int64
	if row := s.budgets[id]; row != nil {
		sum = row.Billed
	}
	for _, tokens := range s.unfoldedBills[id] {
		sum += tokens
	}
	return sum
}

func (s *ledgerState) purchased(id ledger.ID) int64 {
	if row := s.budgets[id]; row != nil {
		return row.Purchased
	}
	return 0
}

// checkBudgets checks every budget row, and consumption against purchases.
func (f *Findings) checkBudgets(in Input, state, before *ledgerState) {
	for id, row := range state.budgets {
		if err := row.Check(); err != nil {
			f.LedgerViolations++
			f.addExample("budget %s: %v", id, err)
		}
		if want := before.purchased(id) + in.Purchased[id]; row.Purchased != want {
			f.LedgerViolations++
			f.addExample("budget %s: the row has %d purchased tokens, the load tool bought %d", id, row.Purchased, want)
		}
		for cause, tokens := range row.Lost {
			f.LostTokens[cause] += tokens
		}
		f.BilledTokens += state.billedTokens(id)
		accounted := row.Billed + row.LostTokens() + row.HeldTokens()
		f.UnaccountedTokens += max(0, f.consumedByBudget[id]-accounted)
	}
	for cause, tokens := range state.unfoldedLost {
		f.LostTokens[cause] += tokens
	}
	f.overspend(in, before)
}

// overspend counts the tokens that workspaces consumed beyond their purchases.
// It uses the load tool's own record of its purchases instead of the table's.
func (f *Findings) overspend(in Input, before *ledgerState) {
	consumed, purchased := map[string]int64{}, map[string]int64{}
	for id, tokens := range f.consumedByBudget {
		consumed[id.Workspace] += tokens
	}
	for id, row := range before.budgets {
		purchased[id.Workspace] += row.Purchased
	}
	for id, tokens := range in.Purchased {
		purchased[id.Workspace] += tokens
	}
	for workspace, tokens := range consumed {
		if over := tokens - purchased[workspace]; over > 0 {
			f.OverspendTokens += over
			f.addExample("workspace %s consumed %d tokens but bought only %d", workspace, tokens, purchased[workspace])
		}
	}
}

// checkBills checks that each complete response is billed once and that nothing
// else is billed. before is the state at the start of the run.
func (f *Findings) checkBills(results []*record.Result, state, before *ledgerState) {
	type sums struct{ lower, upper int64 }
	expected := map[ledger.ID]sums{}
	for _, r := range results {
		id := ledger.ID{Workspace: r.Workspace, Name: r.Budget}
		times, sum := state.billCount(id, r.ID), expected[id]
		until, refused := notRunDeadline(r)
		switch {
		case r.Completed && times == 0:
			f.BillsMissing++
			f.addExample("request %s was answered but not billed", r.ID)
		case times > 1:
			f.BillsDouble++
			f.addExample("request %s is billed %d times", r.ID, times)
		case times == 1 && refused && until.never:
			f.BillsDouble++
			f.addExample("request %s got run_state not_run but is billed", r.ID)
		}
		if r.Completed {
			sum.lower += r.Spend()
			sum.upper += r.Spend()
		} else if times > 0 {
			sum.upper += r.Ceiling()
		}
		expected[id] = sum
	}
	for id, sum := range expected {
		billed := state.billedTokens(id) - before.billedTokens(id)
		if f.BillsMissing == 0 && billed < sum.lower {
			f.BillsMissing++
			f.addExample("budget %s is billed %d tokens, its responses cost %d", id, billed, sum.lower)
		}
		if f.BillsDouble == 0 && billed > sum.upper {
			f.BillsDouble++
			f.addExample("budget %s is billed %d tokens, its responses cost at most %d", id, billed, sum.upper)
		}
	}
}
