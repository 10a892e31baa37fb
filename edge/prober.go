package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/peer"
	"buckthornridge/quarantine"
	"buckthornridge/reach"
)

const (
	// methodEnded asks a peer whether nothing listens at an upstream's address.
	methodEnded = "upstream.ended"
	// proberPeers is how many peers are asked.
	proberPeers = 5
	// maxEnded is how many upstreams are believed to have ended where none is reached. A
	// request that ends upstreams is quarantined after the third.
	maxEnded = 3
)

// controlledProber finds out whether an upstream has ended, and compares it with another
// one: to a VM that has lost its own path all upstreams look as if they had ended.
type controlledProber struct {
	own     quarantine.Prober
	tracker *reach.Tracker
	fleet   *fleet
}

// Ended implements quarantine.Prober.
func (c controlledProber) Ended(ctx context.Context, address string) bool {
	if !c.own.Ended(ctx, address) {
		return false
	}
	id := c.fleet.idAt(address)
	now := time.Now()
	c.tracker.Failed(id, reach.Refused, now, now)
	control, found := c.tracker.Control(id)
	if !found {
		return c.tracker.Failing() <= maxEnded
	}
	u, known := c.fleet.Upstream(control)
	return !known || !c.own.Ended(ctx, u.Address)
}

// confirmingProber has peers confirm that an upstream has ended: a VM may have lost its
// path to some upstreams of a service only.
type confirmingProber struct {
	own   quarantine.Prober
	peers *peers
}

// Ended implements quarantine.Prober. An upstream that any of the asked peers reaches has
// not ended, and without an opinion of any peer nothing is certain.
func (c confirmingProber) Ended(ctx context.Context, upstream string) bool {
	if !c.own.Ended(ctx, upstream) {
		return false
	}
	asked := c.peers.randomAddresses(proberPeers)
	answers := make(chan opinion, len(asked))
	for _, address := range asked {
		go func() { answers <- c.ask(ctx, address, upstream) }()
	}
	confirmed := len(asked) == 0
	for range asked {
		switch <-answers {
		case reached:
			return false
		case ended:
			confirmed = true
		}
	}
	return confirmed
}

// opinion is a peer's answer about an upstream.
type opinion uint8

const (
	unknown opinion = iota // no answer, or none that says anything
	reached                // the address does not refuse connections
	ended
)

func (c confirmingProber) ask(ctx context.Context, peer, upstream string) opinion {
	var answer opinion
	if err := c.peers.client.Call(ctx, peer, methodEnded, upstream, &answer); err != nil {
		klog.V(1).Infof("step=ask_ended peer=%s address=%s result=failed err=%q", peer, upstream, err.Error())
		return unknown
	}
	return answer
}

// serveProbes answers peers. A VM that has itself lost its path to the upstream's service
// has no opinion.
func serveProbes(server *peer.Server, own, controlled quarantine.Prober) {
	server.Handle(methodEnded, func(ctx context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var address string
		if err := decode(&address); err != nil {
			return nil, err
		}
		switch {
		case controlled.Ended(ctx, address):
			return ended, nil
		case own.Ended(ctx, address):
			return unknown, nil
		}
		return reached, nil
	})
}
