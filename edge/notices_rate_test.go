package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/routing"
)

// A weak VM's link carries datagrams in place of callers' answers. All prompts that come
// are long, as in an overload; each is told to every VM, though the rate for that is
// used up, since what is left of it only decides how long a prompt must be.
func TestNoticesKeepToTheirRate(t *testing.T) {
	is := is.New(t)
	const vms, strength = 80, 0.2
	peers := make([]netip.Addr, vms)
	for i := range peers {
		peers[i] = netip.MustParseAddr("127.0.0.2")
	}
	n := noticesAt(t, "127.0.0.1", 0, peers, func(routing.Placed) {})
	t.Cleanup(func() { n.conn.Close() })
	n.port = netip.MustParseAddrPort(n.conn.LocalAddr().String()).Port()
	n.limiter.SetLimit(strength * noticeRate)
	n.limiter.SetBurst(strength * noticeRate)
	began := time.Now()
	for range 50 {
		n.tell(routing.Placed{}, 2*longNotice)
		select {
		case p := <-n.queue:
			n.send(p)
		default:
		}
	}
	is.True(n.sent.Load() > 0)
	is.True(float64(n.sent.Load()) <= strength*noticeRate*(noticeBurst+time.Since(began).Seconds()))
}
