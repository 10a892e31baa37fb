package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"buckthornridge/routing"
	"buckthornridge/traffic"
)

const (
	// noticeRate is how many datagrams a second a VM with a whole core sends; a weaker
	// one sends its part. At 5 us each that is 1% of the VM's processor.
	noticeRate = 2000
	// noticeBurst is how many seconds of that may go out at once.
	noticeBurst = 1.0
	// longNotice is the reading time of a prompt that is told until nothing is left of
	// the rate; shorter ones are told only while more is left.
	longNotice = 500 * time.Millisecond
	// noticeBytes is the size of the largest notice that is read.
	noticeBytes = 512
	// noticeQueue is how many prompts wait to be told of.
	noticeQueue = 64
)

// notices tells the other VMs of long prompts that this one has sent to engines, and
// takes theirs. Each is one datagram to each VM: the loss of one costs a worse choice
// at most, and a connection to each VM of a large fleet would cost more than all
// notices.
type notices struct {
	conn    *net.UDPConn
	port    uint16 // the same on all VMs
	limiter *rate.Limiter
	queue   chan routing.Placed
	// peers returns the other VMs' addresses.
	peers func() []netip.Addr
	// take gets the other VMs' notices.
	take                    func(routing.Placed)
	traffic                 *traffic.Meter
	sent, received, skipped atomic.Int64
}

// newNotices listens on an address, host:port.
func newNotices(address string, strength float64, peers func() []netip.Addr, take func(routing.Placed), meter *traffic.Meter) (*notices, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "notice address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for notices on %s", address)
	}
	if strength <= 0 {
		strength = 1
	}
	perSecond := strength * noticeRate
	return &notices{
		conn: conn, port: local.Port(), limiter: rate.NewLimiter(rate.Limit(perSecond), int(noticeBurst*perSecond)),
		queue: make(chan routing.Placed, noticeQueue), peers: peers, take: take, traffic: meter,
	}, nil
}

// tell queues a notice of a prompt that is read for the given time. It never blocks: a
// notice that finds no room is left out, the shortest prompts first.
func (n *notices) tell(p routing.Placed, reading time.Duration) {
	left := n.limiter.Tokens() / float64(n.limiter.Burst())
	if reading < time.Duration((1-left)*float64(longNotice)) {
		n.skipped.Add(1)
		return
	}
	select {
	case n.queue <- p:
	default:
		n.skipped.Add(1)
	}
}

// run sends and receives until the context ends.
func (n *notices) run(ctx context.Context) {
	go func() {
		<-ctx.Done()
		if err := n.conn.Close(); err != nil {
			klog.Warningf("step=close_notices err=%q", err.Error())
		}
	}()
	go n.receive()
	for {
		select {
		case p := <-n.queue:
			n.send(p)
		case <-ctx.Done():
			return
		}
	}
}

func (n *notices) send(p routing.Placed) {
	peers := n.peers()
	data, err := msgpack.Marshal(p)
	if err != nil {
		klog.Errorf("step=notice result=failed err=%q", err.Error())
		return
	}
	n.limiter.AllowN(time.Now(), min(len(peers), n.limiter.Burst())) // short of tokens: tell has left it out mostly
	for _, address := range peers {
		if _, err := n.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(address, n.port)); err != nil {
			klog.V(1).Infof("step=notice peer=%s result=failed err=%q", address, err.Error())
			continue
		}
		n.sent.Add(1)
		n.traffic.Sent(traffic.Notices, len(data))
	}
}

func (n *notices) receive() {
	buffer := make([]byte, noticeBytes)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.Warningf("step=receive_notice result=failed err=%q", err.Error())
			time.Sleep(noticePause)
			continue
		}
		var p routing.Placed
		if err := msgpack.Unmarshal(buffer[:size], &p); err != nil {
			klog.Warningf("step=receive_notice result=left_out err=%q", err.Error())
			continue
		}
		n.received.Add(1)
		n.traffic.Received(traffic.Notices, size)
		n.take(p)
	}
}

// noticePause keeps a failing socket from using the processor.
const noticePause = 100 * time.Millisecond
