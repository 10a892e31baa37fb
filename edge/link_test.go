package edge

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/relay"
	"buckthornridge/settings"
	"buckthornridge/store"
	"buckthornridge/traffic"
)

// weakLink is the rate of a weak VM's link.
const weakLink = 10 // Mbit/s

// startOnWeakLink returns a process that is ready, on a VM with a weak link. It monitors
// the link until the test ends.
func startOnWeakLink(t *testing.T) (*Process, *traffic.Meter) {
	t.Helper()
	meter := new(traffic.Meter)
	p, err := New(Settings{VM: "a", LinkMbit: weakLink, ConfigurationInForce: settings.Duration(time.Second)},
		Adapter{Traffic: meter, Upstream: decodeTestEntry})
	if err != nil {
		t.Fatal(err)
	}
	p.catalogue.Advance(relay.NewCatalogue(relay.Definition{Version: 1}))
	p.fleet.apply([]store.Change{{Row: store.Row{Key: "i", Value: []byte("ready")}}})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go p.monitorLink(ctx)
	return p, meter
}

// callersSend counts bytes from callers at an even rate, given as a share of the link's.
func callersSend(meter *traffic.Meter, share float64, length time.Duration) {
	const step = 10 * time.Millisecond
	for range length / step {
		meter.Received(traffic.Callers, int(share*weakLink*1e6/8*step.Seconds()))
		time.Sleep(step)
	}
}

// Guards against a VM that stays ready while callers' bytes fill its link. All callers
// of one workspace used one VM, and nearly all of its requests were refused or not
// answered for a whole day: responses of the store and of other VMs waited in the same
// queue, so that the VM got no tokens, while callers whose connections failed opened new
// ones to it. Callers' bytes were 98 % of what came in and used the link's whole rate
// from the first second on; dials to the store and loans timed out. With callers sent
// elsewhere the same load was served.
func TestFullLinkMakesTheProcessNotReady(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, meter := startOnWeakLink(t)
		callersSend(meter, 0.2, 3*time.Second)
		is.Equal(p.notReadyReason(), "")
		callersSend(meter, 0.97, time.Second) // before the load balancer's next check
		is.True(p.notReadyReason() != "")     // the link is full
		callersSend(meter, 0.2, 10*time.Second)
		is.Equal(p.notReadyReason(), "") // it recovers by itself
	})
}
