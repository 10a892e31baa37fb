package edge

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/ratelimit"
	"buckthornridge/routing"
	"buckthornridge/traffic"
)

// noticesAt listens on a loopback address. Both ends must use the same port; 0 chooses a
// free one.
func noticesAt(t *testing.T, host string, port uint16, peers []netip.Addr, observer noticeObserver) *notices {
	t.Helper()
	at := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", host, port))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		t.Fatal(err)
	}
	port = netip.MustParseAddrPort(conn.LocalAddr().String()).Port()
	return newNotices(conn, port, 1, func() []netip.Addr { return peers }, observer, new(traffic.Meter))
}

// noticeRecorder is a noticeObserver that sends notices to channels.
type noticeRecorder struct {
	placed   chan routing.DispatchNotice
	replaced chan string
	limits   chan ratelimit.Reading
	slow     chan routing.SpeedNotice
}

func newNoticeRecorder() noticeRecorder {
	return noticeRecorder{make(chan routing.DispatchNotice, 8), make(chan string, 8), make(chan ratelimit.Reading, 8), make(chan routing.SpeedNotice, 8)}
}

// ObserveSpeed implements noticeObserver.
func (h noticeRecorder) ObserveSpeed(p routing.SpeedNotice) { h.slow <- p }

// ObserveDispatch implements noticeObserver.
func (h noticeRecorder) ObserveDispatch(p routing.DispatchNotice) { h.placed <- p }

// MarkReplaced implements noticeObserver.
func (h noticeRecorder) MarkReplaced(id string) { h.replaced <- id }

// Learn implements noticeObserver.
func (h noticeRecorder) ObserveRejection(upstream string, _ float64) { h.replaced <- upstream }

// ObserveOrigin implements noticeObserver.
func (h noticeRecorder) ObserveOrigin(o originNotice) { h.replaced <- o.Key }

func (h noticeRecorder) Learn(_ string, _ int64, r ratelimit.Reading) bool {
	h.limits <- r
	return true
}

// Notices of one VM reach the others; a datagram that is not a notice is skipped.
func TestNoticesReachOtherVMs(t *testing.T) {
	is := is.New(t)
	recorder := newNoticeRecorder()
	b := noticesAt(t, "127.0.0.2", 0, nil, recorder)
	a := noticesAt(t, "127.0.0.1", b.port, []netip.Addr{netip.MustParseAddr("127.0.0.2")}, newNoticeRecorder())
	go a.run(t.Context())
	go b.run(t.Context())
	_, err := a.conn.WriteToUDPAddrPort([]byte("no notice"), netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), b.port))
	is.NoErr(err)
	sent := routing.DispatchNotice{
		Upstream: "u1", Session: 7, Tokens: 45_000,
		StreamReport: routing.StreamReport{Running: 3, Ended: 9.5, Paused: 1.5},
	}
	a.notifyDispatch(sent, time.Second)
	arrived := sent
	arrived.Router = "127.0.0.1" // the receiver adds the sender
	is.Equal(<-recorder.placed, arrived)
	is.Equal(b.received.Load(), int64(1)) // counted before it is delivered
	a.notifySlow(routing.SpeedNotice{Upstream: "u1", Factor: 2.5})
	is.Equal(<-recorder.slow, routing.SpeedNotice{Upstream: "u1", Factor: 2.5})
	a.notifyReplaced("u2")
	is.Equal(<-recorder.replaced, "u2")
}

// Guards against notices that fill the link of a VM with a quarter of a large fleet's
// prompts. The longer a prompt keeps an engine busy, the longer its notices are sent as
// the rate is used up.
func TestShortPromptsAreSkippedFirst(t *testing.T) {
	is := is.New(t)
	n := noticesAt(t, "127.0.0.1", 0, nil, nil)
	defer n.conn.Close()
	n.notifyDispatch(routing.DispatchNotice{}, 25*time.Millisecond)
	is.Equal(len(n.queue), 1)
	n.limiter.AllowN(time.Now(), n.limiter.Burst()*9/10)
	n.notifyDispatch(routing.DispatchNotice{}, 25*time.Millisecond)
	is.Equal(len(n.queue), 1) // skipped
	n.notifyDispatch(routing.DispatchNotice{}, longPrefill)
	is.Equal(len(n.queue), 2)
	is.Equal(n.skipped.Load(), int64(1))
}

// Guards against rejections that nobody hears of because notices of long prompts have used the rate up.
func TestRejectionsAreToldUnderOverload(t *testing.T) {
	is := is.New(t)
	recorder := newNoticeRecorder()
	b := noticesAt(t, "127.0.0.2", 0, nil, recorder)
	a := noticesAt(t, "127.0.0.1", b.port, []netip.Addr{netip.MustParseAddr("127.0.0.2")}, newNoticeRecorder())
	a.limiter.SetLimit(0)
	a.limiter.SetBurst(0)
	for range noticeQueue {
		a.enqueue(notice{})
	}
	a.notifyRejection("u1", 3)
	go a.run(t.Context())
	go b.run(t.Context())
	is.Equal(<-recorder.replaced, "u1")
}
