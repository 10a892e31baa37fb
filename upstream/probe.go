package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"

	"k8s.io/klog/v2"
)

// Prober opens connections to find out whether a process listens.
type Prober struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Reachability is what opening a connection shows of an address.
type Reachability uint8

const (
	// Unreached: nothing answered, which proves nothing about the process.
	Unreached Reachability = iota
	// Listening: a connection was opened.
	Listening
	// Refusing: the address refuses connections.
	Refusing
)

// Probe opens a connection to an address and closes it.
func (p Prober) Probe(ctx context.Context, address string) Reachability {
	c, err := p.Dial(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refusing
	case err != nil:
		return Unreached
	}
	if err := c.Close(); err != nil {
		klog.V(1).Infof("step=probe_upstream address=%s err=%q", address, err.Error())
	}
	return Listening
}

// Ended reports whether the address refuses connections.
func (p Prober) Ended(ctx context.Context, address string) bool {
	return p.Probe(ctx, address) == Refusing
}
