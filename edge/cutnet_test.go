package edge

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// cutMode is what a VM's connections to upstreams do.
type cutMode int

const (
	reachable  cutMode = iota
	silentCut          // packets are lost
	resetCut           // connections are reset and new ones refused
	refusedCut         // open connections work, new ones are refused
)

// How a silent cut ends connections: the kernel's time-outs as NewDialer sets them.
const (
	silentDialTimeout = time.Second
	silentConnTimeout = 3 * time.Second
)

// cutNet is a network of VMs and upstreams in memory on which VMs lose upstreams.
type cutNet struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cuts      map[string]map[string]cutMode // by VM and address
	conns     map[*cutConn]bool
	dials     map[string]int // of upstreams, by VM
}

func newCutNet() *cutNet {
	return &cutNet{
		listeners: map[string]*pipeListener{}, cuts: map[string]map[string]cutMode{},
		conns: map[*cutConn]bool{}, dials: map[string]int{},
	}
}

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *cutNet) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// dialer returns the function with which a VM opens connections.
func (n *cutNet) dialer(vm string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		n.dials[vm]++
		mode, l := n.cuts[vm][address], n.listeners[address]
		n.mu.Unlock()
		switch mode {
		case silentCut:
			timer := time.NewTimer(silentDialTimeout)
			defer timer.Stop()
			select {
			case <-timer.C:
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		case resetCut, refusedCut:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		return n.connect(ctx, vm, address, l)
	}
}

func (n *cutNet) connect(ctx context.Context, vm, address string, l *pipeListener) (net.Conn, error) {
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &cutConn{Conn: near, net: n, vm: vm, address: address, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c, nil
}

// cut changes what a VM's connections to an upstream do.
func (n *cutNet) cut(mode cutMode, vm string, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[vm] == nil {
		n.cuts[vm] = map[string]cutMode{}
	}
	for _, address := range addresses {
		n.cuts[vm][address] = mode
		for c := range n.conns {
			if c.vm != vm || c.address != address {
				continue
			}
			switch mode {
			case resetCut:
				go c.reset()
			case silentCut:
				c.silence()
			case reachable:
				if c.isSilent() {
					go c.reset()
				}
			}
		}
	}
}

// cutConn is a VM's side of a connection.
type cutConn struct {
	net.Conn
	net         *cutNet
	vm, address string
	mu          sync.Mutex
	silent      bool
	wasReset    bool
	once        sync.Once
	closed      chan struct{}
}

func (c *cutConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		c.silent = true
		time.AfterFunc(silentConnTimeout, func() { c.Close() })
	}
}

func (c *cutConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *cutConn) Read(b []byte) (int, error) {
	size, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.closed
		return 0, c.failure(err)
	}
	return size, err
}

// failure returns the error of a connection that was silent until it was closed.
func (c *cutConn) failure(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wasReset {
		return syscall.ECONNRESET
	}
	return errors.Join(syscall.ETIMEDOUT, err)
}

func (c *cutConn) reset() {
	c.mu.Lock()
	c.wasReset = true
	c.mu.Unlock()
	c.Close()
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *cutConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
	})
	return c.Conn.Close()
}

// close ends all connections and listeners.
func (n *cutNet) close() {
	n.mu.Lock()
	var all []interface{ Close() error }
	for c := range n.conns {
		all = append(all, c)
	}
	for _, l := range n.listeners {
		all = append(all, l)
	}
	n.mu.Unlock()
	for _, one := range all {
		one.Close()
	}
}
