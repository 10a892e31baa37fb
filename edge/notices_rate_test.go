package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/routing"
)

// Guards against notices that fill a weak VM's link in place of responses to callers
// when all prompts are long.
func TestNoticesKeepToTheirRate(t *testing.T) {
	is := is.New(t)
	const vms, strength = 80, 0.2
	peers := make([]netip.Addr, vms)
	for i := range peers {
		peers[i] = netip.MustParseAddr("127.0.0.2")
	}
	n := noticesAt(t, "127.0.0.1", 0, peers, newNoticeRecorder())
	t.Cleanup(func() { n.conn.Close() })
	n.limiter.SetLimit(strength * noticeRate)
	n.limiter.SetBurst(strength * noticeRate)
	began := time.Now()
	for range 50 {
		n.notifyDispatch(routing.DispatchNotice{}, 2*longPrefill)
		select {
		case p := <-n.queue:
			n.send(p)
		default:
		}
	}
	is.True(n.sent.Load() > 0)
	is.True(float64(n.sent.Load()) <= strength*noticeRate*(noticeBurst+time.Since(began).Seconds()))
}
