package edge

import (
	"context"

	"k8s.io/klog/v2"

	"buckthornridge/peer"
	"buckthornridge/quarantine"
)

const (
	// methodEnded asks a peer whether nothing listens at an upstream's address.
	methodEnded = "upstream.ended"
	// proberPeers is how many peers are asked.
	proberPeers = 5
)

// confirmingProber has peers confirm that an upstream has ended. To a VM that has lost its
// own path all upstreams may look as if they had.
type confirmingProber struct {
	own   quarantine.Prober
	peers *peers
}

// Ended implements quarantine.Prober. An upstream that any of the asked peers reaches has
// not ended, and without an answer of any peer nothing is certain.
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
	unknown opinion = iota // no answer
	reached
	ended
)

func (c confirmingProber) ask(ctx context.Context, peer, upstream string) opinion {
	var isEnded bool
	if err := c.peers.client.Call(ctx, peer, methodEnded, upstream, &isEnded); err != nil {
		klog.V(1).Infof("step=ask_ended peer=%s address=%s result=failed err=%q", peer, upstream, err.Error())
		return unknown
	}
	if isEnded {
		return ended
	}
	return reached
}

func serveProbes(server *peer.Server, own quarantine.Prober) {
	server.Handle(methodEnded, func(ctx context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var address string
		if err := decode(&address); err != nil {
			return nil, err
		}
		return own.Ended(ctx, address), nil
	})
}
