package testnet

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Mode is what a VM's connections to upstreams do.
type Mode int

const (
	Reachable Mode = iota
	Silent         // packets are lost
	Reset          // connections are reset and new ones refused
	RefuseNew      // open connections work, new ones are refused
)

// Time after which a silent dial and a silent connection fail, as with the dialler of
// package exchange.
const (
	silentDialTimeout = time.Second
	silentConnTimeout = 3 * time.Second
)

// Network is a network in memory on which VMs lose their paths to addresses. It can be used
// in virtual time.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cuts      map[string]map[string]Mode // by VM and address
	conns     map[*networkConn]bool
	packets   map[netip.AddrPort]*PacketConn
	// packetDelay is how long a datagram takes, as a time.Duration.
	packetDelay atomic.Int64
}

// NewNetwork returns a network on which all VMs reach all addresses.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*pipeListener{}, cuts: map[string]map[string]Mode{},
		conns: map[*networkConn]bool{}, packets: map[netip.AddrPort]*PacketConn{},
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

// Listen returns a listener at an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dialer returns the function with which a VM opens connections.
func (n *Network) Dialer(vm string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		mode, l := n.cuts[vm][address], n.listeners[address]
		n.mu.Unlock()
		switch mode {
		case Silent:
			timer := time.NewTimer(silentDialTimeout)
			defer timer.Stop()
			select {
			case <-timer.C:
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		case Reset, RefuseNew:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		return n.connect(ctx, vm, address, l)
	}
}

func (n *Network) connect(ctx context.Context, vm, address string, l *pipeListener) (net.Conn, error) {
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
	c := &networkConn{Conn: near, net: n, vm: vm, address: address, closed: make(chan struct{}), reading: make(chan struct{}, 1)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c, nil
}

// Cut changes what a VM's connections to some addresses do.
func (n *Network) Cut(mode Mode, vm string, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[vm] == nil {
		n.cuts[vm] = map[string]Mode{}
	}
	for _, address := range addresses {
		n.cuts[vm][address] = mode
		for c := range n.conns {
			if c.vm != vm || c.address != address {
				continue
			}
			switch mode {
			case Reset:
				go c.reset()
			case Silent:
				c.silence()
			case Reachable:
				if c.isSilent() {
					go c.heal()
				}
			}
		}
	}
}

// SilenceOpen makes a VM's open connections to some addresses fall silent, while new ones work.
func (n *Network) SilenceOpen(vm string, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.vm == vm && slices.Contains(addresses, c.address) {
			c.silence()
		}
	}
}

// networkConn is a VM's side of a connection.
type networkConn struct {
	net.Conn
	net         *Network
	vm, address string
	mu          sync.Mutex
	silent      bool
	wasReset    bool
	wasClosed   bool
	dropsUnsent bool   // SetLinger(0)
	held        []byte // written while the connection was silent, for the far end
	once        sync.Once
	closed      chan struct{}
	reading     chan struct{} // holds one element while the near end is read
}

// maxHeld bounds the bytes that a silent connection keeps, as a socket's buffer does.
const maxHeld = 64 << 10

func (c *networkConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		c.silent = true
		time.AfterFunc(silentConnTimeout, func() { c.Close() })
	}
}

// heal ends the silence. The far end gets what the socket held if the near end has closed
// the connection in the ordinary way, and sees its end only now.
func (c *networkConn) heal() {
	c.mu.Lock()
	held := c.held
	if !c.wasClosed || c.dropsUnsent {
		held = nil
	}
	c.wasReset = c.wasReset || !c.wasClosed
	c.mu.Unlock()
	if len(held) > 0 {
		// It fails if the far end has closed the connection.
		_, _ = c.Conn.Write(held)
	}
	c.closeNear()
	c.closeFar()
}

// SetLinger has the meaning of net.TCPConn.SetLinger; only 0 has an effect.
func (c *networkConn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropsUnsent = sec == 0
	return nil
}

func (c *networkConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read loses what the far end writes while the connection is silent, as the far end's socket
// would: it goes on to take bytes.
func (c *networkConn) Read(b []byte) (int, error) {
	c.reading <- struct{}{}
	defer func() { <-c.reading }()
	for {
		size, err := c.Conn.Read(b)
		if !c.isSilent() {
			return size, err
		}
		if err != nil {
			<-c.closed
			return 0, c.failure(err)
		}
	}
}

// drain goes on to lose what the far end writes after the near end was closed.
func (c *networkConn) drain() {
	c.reading <- struct{}{}
	defer func() { <-c.reading }()
	if c.Conn.SetReadDeadline(time.Time{}) == nil {
		_, _ = io.Copy(io.Discard, c.Conn) // until the far end closes, or the silence ends
	}
}

// failure returns the error of a connection that was silent until it was closed.
func (c *networkConn) failure(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wasReset {
		return syscall.ECONNRESET
	}
	return errors.Join(syscall.ETIMEDOUT, err)
}

func (c *networkConn) reset() {
	c.mu.Lock()
	c.wasReset = true
	c.mu.Unlock()
	c.closeNear()
	c.closeFar()
}

func (c *networkConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.silent {
		defer c.mu.Unlock()
		if c.wasClosed {
			return 0, net.ErrClosed
		}
		c.held = append(c.held, b[:min(len(b), maxHeld-len(c.held))]...)
		return len(b), nil
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close closes the near end. The far end of a silent connection does not learn it.
func (c *networkConn) Close() error {
	c.mu.Lock()
	again, silent := c.wasClosed, c.silent
	c.wasClosed = true
	c.mu.Unlock()
	c.closeNear()
	if silent && again {
		return nil
	}
	if silent {
		go c.drain()
		return c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a Read in progress
	}
	return c.closeFar()
}

func (c *networkConn) closeNear() { c.once.Do(func() { close(c.closed) }) }

func (c *networkConn) closeFar() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// Close ends all connections and listeners.
func (n *Network) Close() {
	n.mu.Lock()
	var all []interface{ Close() error }
	var conns []*networkConn
	for c := range n.conns {
		conns = append(conns, c)
	}
	for _, l := range n.listeners {
		all = append(all, l)
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
	for _, one := range all {
		one.Close()
	}
}
