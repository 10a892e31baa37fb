package budget

import (
	"context"
	"time"

	"buckthornridge/journal"
)

// copyLimit bounds handing a pending bill to another router; the caller's answer
// waits for it.
const copyLimit = 300 * time.Millisecond

// copyBill puts a pending bill into the memory of a second VM. If no router takes
// it, the bill is in this one's memory alone until the table is back, and a crash
// meanwhile leaves its answer unbilled, though not its tokens unaccounted for:
// they are within what is written off then.
func (k *Keeper) copyBill(item *journal.Item) {
	if k.cfg.Copies == nil {
		count.billsAlone.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, copyLimit)
	defer cancel()
	if err := k.cfg.Copies.Copy(ctx, item.Entry()); err != nil {
		count.billsAlone.Add(1)
	}
}
