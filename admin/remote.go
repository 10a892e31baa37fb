package admin

import (
	"context"

	"buckthornridge/config"
	"buckthornridge/peer"
)

// MethodDrain is the peer protocol method that asks a process for a planned stop.
// The reply is sent at once; the stop continues afterwards.
const MethodDrain = "process.drain"

// RemoteProcesses implements Processes over the peer protocol.
type RemoteProcesses struct{ Caller peer.Caller }

// ConfigFetcher implements Processes.
func (p RemoteProcesses) ConfigFetcher(address string) config.Fetcher {
	return config.RemotePeer{Caller: p.Caller, Address: address}
}

// Drain implements Processes.
func (p RemoteProcesses) Drain(ctx context.Context, address string) error {
	return p.Caller.Call(ctx, address, MethodDrain, nil, nil)
}

// ServeDrain registers a handler of MethodDrain that calls stop, which must not
// block.
func ServeDrain(handlers config.Handlers, stop func()) {
	handlers.Handle(MethodDrain, func(context.Context, func(any) error, peer.Sender) (any, error) {
		stop()
		return nil, nil
	})
}
