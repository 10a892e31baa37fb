package edge

import (
	"net/http"
	"testing"
	"time"

	"buckthornridge/bubble"
	"buckthornridge/relay"
)

// Guards against a VM that has just started, reaches no other VM and serves nobody: it has no part of a service of which
// it knows nothing, and can ask none that has.
func TestVMThatStartsAloneServes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const engines, slots, aloneAt = 2, 2, 2 * time.Second
		e := newSmallSayingEnv(t, engines, slots, func(*relay.Head, http.Header) {}, func(*sayingEnv, sayingPair, http.ResponseWriter) bool { return true })
		e.play(map[time.Duration]func(){aloneAt: func() {
			for vm := range versionVMs {
				e.partition(vm, true)
				e.killVM(vm)
				e.startVM(vm)
			}
		}})
		e.judgeServed(aloneAt+2*time.Second, sayingRun)
	})
}
