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

// Ended reports whether the address refuses connections. A connection that times out
// proves nothing about the process.
func (p Prober) Ended(ctx context.Context, address string) bool {
	c, err := p.Dial(ctx, "tcp", address)
	if err == nil {
		if err := c.Close(); err != nil {
			klog.V(1).Infof("step=probe_upstream address=%s err=%q", address, err.Error())
		}
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
