// Package ledger holds the table rows of a budget and the only functions that
// move tokens between their columns.
//
// Every function preserves the identity
//
//	purchased = billed + lost + sum of holders' held + free
//
// and refuses a move that would make a column negative, so that a row that is
// consistent when read, and written under a condition on its version, stays
// consistent.
package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrInsufficientTokens reports a move of more tokens than its source column holds.
var ErrInsufficientTokens = eris.New("ledger: move exceeds its source")

// ID names a budget.
type ID struct {
	Workspace string `msgpack:"w" json:"workspace"`
	Name      string `msgpack:"n" json:"budget"`
}

// String returns "workspace/name".
func (id ID) String() string { return id.Workspace + "/" + id.Name }

// Cause is the reason why tokens were consumed without a bill.
type Cause string

// The causes of lost tokens.
const (
	// CauseAbandoned: the attempt was abandoned; another one was billed.
	CauseAbandoned Cause = "abandoned"
	// CauseDuplicate: another router's bill of the request came first.
	CauseDuplicate Cause = "duplicate"
	// CauseFailed: the request failed after it ran in part.
	CauseFailed Cause = "failed"
	// CauseHolderGone: the holder is gone and its journal does not account for the
	// tokens.
	CauseHolderGone Cause = "holder_gone"
)

// Holding is the part of a budget that one holder, a router's incarnation, has.
type Holding struct {
	// Held counts granted tokens that no folded bill has used yet.
	Held int64 `msgpack:"h" json:"held"`
	// Exposure bounds the tokens that the holder may dispatch before its journal
	// records them; if the holder crashes, that many tokens of Held are lost.
	Exposure int64 `msgpack:"x" json:"exposure"`
	// OutageExposure replaces Exposure while the holder is in outage mode, which the
	// witness has recorded.
	OutageExposure int64 `msgpack:"u,omitempty" json:"outage,omitempty"`
	// Witness is the holder name of the other router that records outage mode;
	// empty for none.
	Witness string `msgpack:"w,omitempty" json:"witness,omitempty"`
	// Op is the number of the holder's last grant or return, and Delta the tokens
	// that it moved to the holder. A holder that lost the answer finds the outcome
	// here.
	Op    uint64 `msgpack:"o" json:"op"`
	Delta int64  `msgpack:"d" json:"delta"`
	// Closed is set once the holder has returned everything but unfolded bills.
	Closed bool `msgpack:"c,omitempty" json:"closed,omitempty"`
}

// Generation is one row of a budget's index of billed requests.
type Generation struct {
	Number  uint64 `msgpack:"n" json:"number"`
	Started int64  `msgpack:"s" json:"started_ms"` // Unix time in milliseconds
	Keys    int    `msgpack:"k" json:"keys"`
}

// Orphan is a run of a holder that is gone. Its ceiling counts as lost unless
// another holder resumes and bills the run.
type Orphan struct {
	Run    uint64 `msgpack:"r" json:"run"` // hash of the run's name
	Tokens int64  `msgpack:"t" json:"tokens"`
	LostAt int64  `msgpack:"l" json:"lost_ms"` // Unix time in milliseconds
}

// Limits of the age and number of a budget's orphans.
const (
	maxOrphanAge = int64(time.Hour / time.Millisecond)
	maxOrphans   = 64
)

// Budget is the row of one budget. All counts are tokens.
type Budget struct {
	Purchased int64              `msgpack:"p" json:"purchased"`
	Billed    int64              `msgpack:"b" json:"billed"`
	Lost      map[Cause]int64    `msgpack:"l" json:"lost"`
	Free      int64              `msgpack:"f" json:"free"`
	Holders   map[string]Holding `msgpack:"g" json:"holders"`
	// Orphans are the runs of holders that are gone that count as lost; see FreeOrphan.
	Orphans []Orphan `msgpack:"q,omitempty" json:"orphans,omitempty"`
	// Index lists the rows of the index of billed requests, oldest first.
	Index []Generation `msgpack:"i,omitempty" json:"-"`
}

// LostTokens sums the lost tokens over all causes.
func (b *Budget) LostTokens() int64 {
	var sum int64
	for _, tokens := range b.Lost {
		sum += tokens
	}
	return sum
}

// HeldTokens sums the held tokens over all holders.
func (b *Budget) HeldTokens() int64 {
	var sum int64
	for _, h := range b.Holders {
		sum += h.Held
	}
	return sum
}

// Check returns an error if the row violates the identity or has a negative
// column.
func (b *Budget) Check() error {
	sum := b.Billed + b.LostTokens() + b.HeldTokens() + b.Free
	if sum != b.Purchased {
		return eris.Errorf("purchased %d, but billed %d + lost %d + held %d + free %d = %d",
			b.Purchased, b.Billed, b.LostTokens(), b.HeldTokens(), b.Free, sum)
	}
	if b.Purchased < 0 || b.Billed < 0 || b.Free < 0 {
		return eris.Errorf("negative column: purchased %d, billed %d, free %d", b.Purchased, b.Billed, b.Free)
	}
	for cause, tokens := range b.Lost {
		if tokens < 0 {
			return eris.Errorf("negative loss %d by %s", tokens, cause)
		}
	}
	for name, h := range b.Holders {
		if h.Held < 0 || h.Exposure < 0 || h.OutageExposure < 0 {
			return eris.Errorf("holder %s: negative held %d or exposure %d, %d", name, h.Held, h.Exposure, h.OutageExposure)
		}
	}
	return nil
}

// Purchase adds the tokens of a top-up to purchased and free.
func (b *Budget) Purchase(tokens int64) error {
	if tokens <= 0 || b.Purchased+tokens < b.Purchased {
		return eris.Wrapf(ErrInsufficientTokens, "top-up of %d tokens", tokens)
	}
	b.Purchased += tokens
	b.Free += tokens
	return nil
}

// Transfer moves change.Delta tokens from free to a holder, or back if negative,
// and replaces the rest of the holding by change.
func (b *Budget) Transfer(holder string, change Holding) error {
	h := b.Holders[holder]
	if change.Delta > b.Free || -change.Delta > h.Held {
		return eris.Wrapf(ErrInsufficientTokens, "transfer of %d to %s: free %d, held %d", change.Delta, holder, b.Free, h.Held)
	}
	b.Free -= change.Delta
	change.Held = h.Held + change.Delta
	b.setHolding(holder, change)
	return nil
}

// Bill moves a holder's tokens to billed.
func (b *Budget) Bill(holder string, tokens int64) error {
	if err := b.takeHeld(holder, tokens); err != nil {
		return eris.Wrapf(err, "bill")
	}
	b.Billed += tokens
	return nil
}

// Lose moves a holder's tokens to lost.
func (b *Budget) Lose(holder string, tokens int64, cause Cause) error {
	if err := b.takeHeld(holder, tokens); err != nil {
		return eris.Wrapf(err, "lose (%s)", cause)
	}
	b.addLost(cause, tokens)
	return nil
}

// BillLost moves lost tokens of a holder that is gone to billed: its bill was
// handed over to another router, which wrote it to the table.
func (b *Budget) BillLost(tokens int64) error {
	if tokens < 0 || tokens > b.Lost[CauseHolderGone] {
		return eris.Wrapf(ErrInsufficientTokens, "recover %d of %d lost", tokens, b.Lost[CauseHolderGone])
	}
	b.addLost(CauseHolderGone, -tokens)
	b.Billed += tokens
	return nil
}

// Reclaim removes a holder that is gone and whose journal is sealed and folded.
// Of what it held, the unsettled tokens (the ceilings that its journal leaves
// open) and its exposure are lost, and the rest is free again. outage is set if
// the holder may have been in outage mode. open lists those of the unsettled runs
// that another holder may have resumed. It returns the loss.
func (b *Budget) Reclaim(holder string, open []Orphan, unsettled int64, outage bool) int64 {
	h := b.Holders[holder]
	exposure := h.Exposure
	if outage {
		exposure = max(h.Exposure, h.OutageExposure)
	}
	lost := min(h.Held, unsettled+exposure)
	if lost < unsettled+exposure {
		// The loss is less than the sum, so that a single run's part of it is
		// unknown.
		open = nil
	}
	b.Orphans = append(b.Orphans, open...)
	b.Orphans = b.Orphans[max(0, len(b.Orphans)-maxOrphans):]
	if lost > 0 {
		b.addLost(CauseHolderGone, lost)
	}
	b.Free += h.Held - lost
	delete(b.Holders, holder)
	return lost
}

// FreeOrphan frees the lost tokens of a run that another holder resumed and billed
// whole: its tokens were consumed only once. It returns the number of tokens.
func (b *Budget) FreeOrphan(run uint64) int64 {
	var tokens int64
	rest := b.Orphans[:0]
	for _, o := range b.Orphans {
		if o.Run != run {
			rest = append(rest, o)
			continue
		}
		tokens += o.Tokens
	}
	if tokens > 0 {
		b.Orphans = rest
		b.Lost[CauseHolderGone] -= tokens
		b.Free += tokens
	}
	return tokens
}

// ExpireOrphans drops orphans that no holder has resumed within maxOrphanAge.
func (b *Budget) ExpireOrphans(now time.Time) {
	b.Orphans = slices.DeleteFunc(b.Orphans, func(o Orphan) bool { return now.UnixMilli()-o.LostAt > maxOrphanAge })
}

// RemoveIfClosed removes a holder that closed its account and holds nothing. It
// reports whether it did.
func (b *Budget) RemoveIfClosed(holder string) bool {
	h, known := b.Holders[holder]
	if !known || !h.Closed || h.Held != 0 {
		return false
	}
	delete(b.Holders, holder)
	return true
}

func (b *Budget) takeHeld(holder string, tokens int64) error {
	h := b.Holders[holder]
	if tokens < 0 || tokens > h.Held {
		return eris.Wrapf(ErrInsufficientTokens, "%d tokens of %s, which holds %d", tokens, holder, h.Held)
	}
	if tokens > 0 {
		h.Held -= tokens
		b.Holders[holder] = h
	}
	return nil
}

func (b *Budget) addLost(cause Cause, tokens int64) {
	if b.Lost == nil {
		b.Lost = map[Cause]int64{}
	}
	b.Lost[cause] += tokens
}

func (b *Budget) setHolding(holder string, h Holding) {
	if b.Holders == nil {
		b.Holders = map[string]Holding{}
	}
	b.Holders[holder] = h
}

// Encode returns a row's value.
func Encode(value any) []byte {
	data, err := msgpack.Marshal(value)
	if err != nil {
		// Rows are plain structs of numbers and strings, so that a failure is a
		// programming error.
		panic(fmt.Sprintf("ledger: encode %T: %v", value, err))
	}
	return data
}

// Decode decodes a row's value; an absent row (no bytes) leaves into unchanged.
func Decode(key string, data []byte, into any) error {
	if len(data) == 0 {
		return nil
	}
	if err := msgpack.Unmarshal(data, into); err != nil {
		return eris.Wrapf(err, "decode row %s", key)
	}
	return nil
}
