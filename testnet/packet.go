package testnet

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// packetQueue is how many datagrams wait at a socket; further ones are lost.
const packetQueue = 1024

// PacketConn is a socket for datagrams on a Network. It has the methods of net.UDPConn with
// the same names.
type PacketConn struct {
	net     *Network
	vm      string
	address netip.AddrPort
	packets chan packet
	done    chan struct{}
	once    sync.Once
}

type packet struct {
	data []byte
	from netip.AddrPort
}

// ListenPacket returns a VM's socket at an address. Cut applies to that address too.
func (n *Network) ListenPacket(vm string, address netip.AddrPort) *PacketConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &PacketConn{net: n, vm: vm, address: address, packets: make(chan packet, packetQueue), done: make(chan struct{})}
	n.packets[address] = c
	return c
}

// ReadFromUDPAddrPort receives a datagram.
func (c *PacketConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case p := <-c.packets:
		return copy(b, p.data), p.from, nil
	case <-c.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort sends a datagram. One that can't be delivered is lost without an error.
func (c *PacketConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	c.net.mu.Lock()
	target, mode := c.net.packets[to], c.net.cuts[c.vm][to.String()]
	c.net.mu.Unlock()
	if target == nil || mode != Reachable {
		return len(b), nil
	}
	p := packet{append([]byte(nil), b...), c.address}
	if delay := time.Duration(c.net.packetDelay.Load()); delay > 0 {
		time.AfterFunc(delay, func() { target.receive(p) })
	} else {
		target.receive(p)
	}
	return len(b), nil
}

// receive queues a datagram, or loses it if too many wait.
func (c *PacketConn) receive(p packet) {
	select {
	case c.packets <- p:
	default:
	}
}

// DelayPackets makes each datagram arrive a time after it was sent.
func (n *Network) DelayPackets(delay time.Duration) { n.packetDelay.Store(int64(delay)) }

// Close closes the socket.
func (c *PacketConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}
