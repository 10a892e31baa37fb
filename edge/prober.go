package edge

import (
	"context"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/peer"
	"buckthornridge/reach"
	"buckthornridge/upstream"
)

const (
	// methodEnded asks a peer whether nothing listens at an upstream's address.
	methodEnded = "upstream.ended"
	// proberPeers is how many peers are asked.
	proberPeers = 5
	// maxEnded is how many upstreams are believed to have ended where none is reached,
	// besides those that were known to have ended while others were reached.
	maxEnded = 3
	// endedRetention is how long it is kept that an upstream has ended.
	endedRetention = time.Minute
	// ownProbeTimeout bounds the own probe, so that peers can be asked after it.
	ownProbeTimeout = 150 * time.Millisecond
)

// opinion is what a VM can say about an upstream.
type opinion uint8

const (
	unknown opinion = iota // nothing: the VM may have lost its path
	reached                // something listens at the address
	ended
)

// controlledProber finds out whether an upstream has ended, and compares it with another
// one: to a VM that has lost its own path all upstreams look as if they had ended.
type controlledProber struct {
	own     upstream.Prober
	tracker *reach.Tracker
	fleet   *fleet

	mu sync.Mutex
	// ended holds the upstreams that were found to have ended, with the time of that.
	ended map[string]time.Time
}

func newControlledProber(own upstream.Prober, tracker *reach.Tracker, fleet *fleet) *controlledProber {
	return &controlledProber{own: own, tracker: tracker, fleet: fleet, ended: map[string]time.Time{}}
}

func (c *controlledProber) opinion(ctx context.Context, address string) opinion {
	ctx, cancel := context.WithTimeout(ctx, ownProbeTimeout)
	defer cancel()
	switch c.own.Probe(ctx, address) {
	case upstream.Listening:
		return reached
	case upstream.Unreached:
		return unknown
	}
	id := c.fleet.idAt(address)
	now := time.Now()
	c.tracker.Failed(id, reach.Refused, now, now)
	control, found := c.tracker.Control(id)
	if !found && c.unexplained(id, now) >= maxEnded {
		return unknown
	}
	if u, known := c.fleet.Upstream(control); found && known && c.own.Probe(ctx, u.Address) == upstream.Refusing {
		return unknown
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[id] = now
	return ended
}

// unexplained returns how many upstreams fail, besides one and those that are known to have
// ended. Where all upstreams crash one after the other, none is left to compare the last
// ones with.
func (c *controlledProber) unexplained(except string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.ended, func(_ string, at time.Time) bool { return now.Sub(at) > endedRetention })
	count := 0
	for _, id := range c.tracker.FailingUpstreams() {
		if _, known := c.ended[id]; !known && id != except {
			count++
		}
	}
	return count
}

// confirmingProber has peers confirm that an upstream has ended: a VM may have lost its
// path to some upstreams of a service only, or to all.
type confirmingProber struct {
	own   *controlledProber
	peers *peers
}

// Ended implements quarantine.Prober. An upstream that any of the asked VMs reaches has not
// ended, and without the opinion of a peer nothing is certain. A VM without a path to it
// goes by what its peers say.
func (c confirmingProber) Ended(ctx context.Context, address string) bool {
	own := c.own.opinion(ctx, address)
	if own == reached {
		return false
	}
	asked := c.peers.randomAddresses(proberPeers)
	if len(asked) == 0 {
		return own == ended
	}
	answers := make(chan opinion, len(asked))
	for _, peer := range asked {
		go func() { answers <- c.ask(ctx, peer, address) }()
	}
	confirmed := false
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

func (c confirmingProber) ask(ctx context.Context, peer, address string) opinion {
	var answer opinion
	if err := c.peers.client.Call(ctx, peer, methodEnded, address, &answer); err != nil {
		klog.V(1).Infof("step=ask_ended peer=%s address=%s result=failed err=%q", peer, address, err.Error())
		return unknown
	}
	return answer
}

// serveProbes answers peers.
func serveProbes(server *peer.Server, own *controlledProber) {
	server.Handle(methodEnded, func(ctx context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var address string
		if err := decode(&address); err != nil {
			return nil, err
		}
		return own.opinion(ctx, address), nil
	})
}
