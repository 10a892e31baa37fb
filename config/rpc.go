package config

import (
	"context"

	"buckthornridge/peer"
)

// Methods of the peer protocol.
const (
	MethodHead  = "config.head"
	MethodSince = "config.since"
	MethodOffer = "config.offer"
)

// SinceRequest requests the steps from a version; SinceReply contains them.
type (
	SinceRequest struct {
		From Version `msgpack:"f"`
	}
	SinceReply struct {
		Steps []Step `msgpack:"s"`
	}
)

// OfferMessage announces that the process at Address has a version.
type OfferMessage struct {
	Version Version `msgpack:"v"`
	Address string  `msgpack:"a"` // the sender's peer address
}

// RemotePeer is a Peer over the peer protocol.
type RemotePeer struct {
	Caller  peer.Caller
	Address string // the peer's address
	Self    string // this process's peer address
}

var _ Peer = RemotePeer{}

// Name implements Peer.
func (p RemotePeer) Name() string { return p.Address }

// Head implements Fetcher.
func (p RemotePeer) Head(ctx context.Context) (head Head, err error) {
	err = p.Caller.Call(ctx, p.Address, MethodHead, nil, &head)
	return head, err
}

// Since implements Fetcher.
func (p RemotePeer) Since(ctx context.Context, from Version) ([]Step, error) {
	var reply SinceReply
	err := p.Caller.Call(ctx, p.Address, MethodSince, SinceRequest{From: from}, &reply)
	return reply.Steps, err
}

// Offer implements Peer.
func (p RemotePeer) Offer(ctx context.Context, version Version) error {
	return p.Caller.Push(ctx, p.Address, MethodOffer, OfferMessage{Version: version, Address: p.Self})
}

// RemotePeers returns a function for WatcherOptions.Peers that returns the peers at
// addresses, without self. The addresses may change from call to call.
func RemotePeers(caller peer.Caller, self string, addresses func() []string) func() []Peer {
	return func() []Peer {
		var peers []Peer
		for _, address := range addresses() {
			if address != self && address != "" {
				peers = append(peers, RemotePeer{Caller: caller, Address: address, Self: self})
			}
		}
		return peers
	}
}

// Handlers is the part of peer.Server that registers methods.
type Handlers interface {
	Handle(method string, h peer.Handler)
}

// Serve registers the methods that answer requests of peers from w and pass their
// offers to it.
func Serve(handlers Handlers, w *Watcher, caller peer.Caller) {
	handlers.Handle(MethodHead, func(ctx context.Context, _ func(any) error, _ peer.Sender) (any, error) {
		return w.Head(ctx)
	})
	handlers.Handle(MethodSince, func(ctx context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var request SinceRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		steps, err := w.Since(ctx, request.From)
		return SinceReply{Steps: steps}, err
	})
	handlers.Handle(MethodOffer, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var offer OfferMessage
		if err := decode(&offer); err != nil {
			return nil, err
		}
		w.HandleOffer(offer.Version, RemotePeer{Caller: caller, Address: offer.Address})
		return nil, nil
	})
}
