package routing

import (
	"sync/atomic"
	"time"
)

const (
	historySlots = 32
	historyStep  = 500 * time.Millisecond
)

// history holds this router's own load on an upstream over the last 16 seconds. A load
// report that is seconds old includes this router's load at that time. Exactly that load
// is subtracted; otherwise recent requests would be counted twice or not at all.
type history struct {
	slots [historySlots]atomic.Uint64 // 20 bits step, 16 bits requests, 28 bits tokens
}

const (
	historyTokenBits   = 28
	historyRequestBits = 16
	historyStepShift   = historyTokenBits + historyRequestBits
	historyStepMask    = 1<<20 - 1
	historyTokenMax    = 1<<historyTokenBits - 1
	historyRequestMax  = 1<<historyRequestBits - 1
)

// record stores the counts at now, the time since the table's start.
func (h *history) record(now time.Duration, requests, tokens int64) {
	step := uint64(now/historyStep) + 1 // 0 marks an unused slot
	packed := (step&historyStepMask)<<historyStepShift |
		uint64(min(max(requests, 0), historyRequestMax))<<historyTokenBits |
		uint64(min(max(tokens, 0), historyTokenMax))
	h.slots[step%historySlots].Store(packed)
}

// at returns the counts at a past time: those of the last step recorded at or before it,
// or zeros if nothing was recorded in the window.
func (h *history) at(when time.Duration) (requests, tokens int64) {
	if when < 0 {
		return 0, 0
	}
	step := uint64(when/historyStep) + 1
	for back := uint64(0); back < historySlots && back < step; back++ {
		wanted := step - back
		packed := h.slots[wanted%historySlots].Load()
		if packed != 0 && packed>>historyStepShift == wanted&historyStepMask {
			requests = int64(packed >> historyTokenBits & historyRequestMax)
			return requests, int64(packed & historyTokenMax)
		}
	}
	return 0, 0
}
