package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"buckthornridge/ratelimit"
	"buckthornridge/routing"
	"buckthornridge/traffic"
)

const (
	// noticeRate is how many datagrams per second a VM with a whole core sends; a weaker
	// one sends its share. At 5 us each that is 1% of the VM's CPU time.
	noticeRate = 2000
	// noticeBurst is the burst, in seconds of the rate.
	noticeBurst = 1.0
	// longPrefill is the prefill time of prompts that are announced until the rate is
	// used up; shorter ones are announced only while more of it remains.
	longPrefill = 500 * time.Millisecond
	// noticeBytes is the size of the largest notice that is read.
	noticeBytes = 1024
	// noticeQueue is the capacity of the queue of unsent notices.
	noticeQueue = 64
	// urgentRate and urgentBurst bound the notices per second that are sent to all VMs
	// though the rate is used up.
	urgentRate  = 5
	urgentBurst = 10
)

// notice is the content of one datagram: a prompt that was sent to an engine, an upstream
// that was replaced, or one that names the rate it takes.
type notice struct {
	routing.DispatchNotice `msgpack:",inline"`
	// Replaced is the id of an upstream whose address another upstream has now.
	Replaced string `msgpack:"g,omitempty"`
	// Limit is what an upstream says of its rate.
	Limit *limitNotice `msgpack:"l,omitempty"`
	// Rejection is a rejection by an upstream that bears few.
	Rejection *rejectionNotice `msgpack:"j,omitempty"`
	// Origin is where a stream began.
	Origin *originNotice `msgpack:"o,omitempty"`
	// Speed is of an engine that is slow at present.
	Speed *routing.SpeedNotice `msgpack:"w,omitempty"`
}

// limitNotice tells what an upstream says of the rate that it takes.
type limitNotice struct {
	Upstream  string  `msgpack:"u"`
	Process   int64   `msgpack:"p"` // relay.Upstream.Start
	Named     bool    `msgpack:"n"`
	PerSecond float64 `msgpack:"r"`
}

// rejectionNotice tells that an upstream had no room.
type rejectionNotice struct {
	Upstream  string  `msgpack:"u"`
	PerSecond float64 `msgpack:"r"` // rejections that it bears
}

// noticeObserver gets the notices of other VMs.
type noticeObserver interface {
	ObserveDispatch(p routing.DispatchNotice)
	ObserveSpeed(p routing.SpeedNotice)
	MarkReplaced(id string)
	Learn(upstream string, process int64, r ratelimit.Reading) bool
	ObserveRejection(upstream string, perSecond float64)
	ObserveOrigin(o originNotice)
}

// noticeReceiver passes notices on to those that they are for.
type noticeReceiver struct {
	*routing.Table
	*ratelimit.Limiter
	rejections *ratelimit.Rejections
	*origins
}

// ObserveRejection implements noticeObserver.
func (r noticeReceiver) ObserveRejection(upstream string, perSecond float64) {
	r.rejections.Learn(upstream, perSecond)
}

// notices sends notices of long prompts that this VM has sent to engines, and of
// replaced upstreams, to the other VMs, and receives theirs. Each notice is one datagram
// to each VM. A lost one costs at most a worse choice of an upstream, and a connection
// to each VM of a large fleet would cost more than all notices.
type notices struct {
	conn    noticeConn
	port    uint16 // the same on all VMs
	limiter *rate.Limiter
	queue   chan notice
	// urgent holds notices that are due when the fleet is overloaded and the rate is used up.
	urgent        chan notice
	urgentLimiter *rate.Limiter
	// peers returns the other VMs' addresses.
	peers func() []netip.Addr
	// observer gets the notices of other VMs.
	observer                noticeObserver
	traffic                 *traffic.Meter
	sent, received, skipped atomic.Int64
}

// noticeConn is a socket for datagrams; *net.UDPConn implements it.
type noticeConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// newNotices returns notices over a socket. All VMs use the same port.
func newNotices(conn noticeConn, port uint16, strength float64, peers func() []netip.Addr, observer noticeObserver, meter *traffic.Meter) *notices {
	if strength <= 0 {
		strength = 1
	}
	perSecond := strength * noticeRate
	return &notices{
		conn: conn, port: port, limiter: rate.NewLimiter(rate.Limit(perSecond), int(noticeBurst*perSecond)),
		queue: make(chan notice, noticeQueue), peers: peers, observer: observer, traffic: meter,
		urgent: make(chan notice, noticeQueue), urgentLimiter: rate.NewLimiter(urgentRate, urgentBurst),
	}
}

// notifyDispatch queues a notice of a prompt with the given prefill time. It never
// blocks: as the rate is used up, the shortest prompts are skipped first.
func (n *notices) notifyDispatch(p routing.DispatchNotice, prefill time.Duration) {
	available := n.limiter.Tokens() / float64(n.limiter.Burst())
	if prefill < time.Duration((1-available)*float64(longPrefill)) {
		n.skipped.Add(1)
		return
	}
	n.enqueue(notice{DispatchNotice: p})
}

// notifySlow queues a notice of an engine that has turned slow.
func (n *notices) notifySlow(p routing.SpeedNotice) { n.enqueue(notice{Speed: &p}) }

// notifyReplaced queues a notice of a replaced upstream. They are rare, and each saves
// every other VM a caller's request.
func (n *notices) notifyReplaced(id string) {
	klog.Infof("step=upstream_replaced id=%s", id)
	n.enqueue(notice{Replaced: id})
}

// notifyLimit queues a notice of an upstream that names another rate, or none any more. A
// VM that has no part of the rate gets no answers to learn it from.
func (n *notices) notifyLimit(upstream string, process int64, r ratelimit.Reading) {
	n.enqueue(notice{Limit: &limitNotice{Upstream: upstream, Process: process, Named: r.Named, PerSecond: r.PerSecond}})
}

// notifyRejection queues a notice of an upstream that had no room. The other VMs would
// find that out by further rejections.
func (n *notices) notifyRejection(upstream string, perSecond float64) {
	msg := notice{Rejection: &rejectionNotice{Upstream: upstream, PerSecond: perSecond}}
	if n.urgentLimiter.Allow() {
		select {
		case n.urgent <- msg:
			return
		default:
		}
	}
	n.enqueue(msg)
}

func (n *notices) enqueue(msg notice) {
	select {
	case n.queue <- msg:
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
		case p := <-n.urgent:
			n.sendUrgent(p)
			continue
		default:
		}
		select {
		case p := <-n.urgent:
			n.sendUrgent(p)
		case p := <-n.queue:
			n.send(p)
		case <-ctx.Done():
			return
		}
	}
}

func (n *notices) send(msg notice) { n.sendTo(n.withinRate(n.peers()), msg) }

// sendOrigin sends where a stream began at once: it must be on its way before the stream's
// first event is. The limit of the rate does not apply, since a stream that breaks off
// could not be continued elsewhere.
func (n *notices) sendOrigin(peers []netip.Addr, o originNotice) {
	n.sendUnlimited(peers, notice{Origin: &o})
}

// sendUrgent sends a notice to all peers at once.
func (n *notices) sendUrgent(msg notice) { n.sendUnlimited(n.peers(), msg) }

func (n *notices) sendUnlimited(peers []netip.Addr, msg notice) {
	n.limiter.AllowN(time.Now(), len(peers))
	n.sendTo(peers, msg)
}

func (n *notices) sendTo(peers []netip.Addr, msg notice) {
	data, err := msgpack.Marshal(msg)
	if err != nil || len(data) > noticeBytes {
		klog.Errorf("step=notice result=failed bytes=%d err=%v", len(data), err)
		return
	}
	for _, address := range peers {
		if _, err := n.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(address, n.port)); err != nil {
			klog.V(1).Infof("step=notice peer=%s result=failed err=%q", address, err.Error())
			continue
		}
		n.sent.Add(1)
		n.traffic.Sent(traffic.Notices, len(data))
	}
}

// withinRate returns as many of the peers as the rate allows for one notice, chosen at
// random each time: under overload each VM gets a part of all notices, and the link
// stays free for responses to callers.
func (n *notices) withinRate(peers []netip.Addr) []netip.Addr {
	now := time.Now()
	count := min(len(peers), int(n.limiter.TokensAt(now)))
	if count <= 0 || !n.limiter.AllowN(now, count) {
		n.skipped.Add(1)
		return nil
	}
	if count == len(peers) {
		return peers
	}
	sample := slices.Clone(peers)
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:count]
}

func (n *notices) receive() {
	buffer := make([]byte, noticeBytes)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.Warningf("step=receive_notice result=failed err=%q", err.Error())
			time.Sleep(receiveRetryDelay)
			continue
		}
		var incoming notice
		if err := msgpack.Unmarshal(buffer[:size], &incoming); err != nil {
			klog.Warningf("step=receive_notice result=left_out err=%q", err.Error())
			continue
		}
		n.received.Add(1)
		n.traffic.Received(traffic.Notices, size)
		incoming.Router = from.Addr().String()
		n.deliver(incoming)
	}
}

func (n *notices) deliver(msg notice) {
	if msg.Replaced != "" {
		n.observer.MarkReplaced(msg.Replaced)
		return
	}
	if l := msg.Limit; l != nil {
		n.observer.Learn(l.Upstream, l.Process, ratelimit.Reading{Named: l.Named, PerSecond: l.PerSecond})
		return
	}
	if r := msg.Rejection; r != nil {
		n.observer.ObserveRejection(r.Upstream, r.PerSecond)
		return
	}
	if o := msg.Origin; o != nil {
		n.observer.ObserveOrigin(*o)
		return
	}
	if msg.Speed != nil {
		n.observer.ObserveSpeed(*msg.Speed)
		return
	}
	n.observer.ObserveDispatch(msg.DispatchNotice)
}

// receiveRetryDelay keeps a failing socket from using up the CPU.
const receiveRetryDelay = 100 * time.Millisecond
