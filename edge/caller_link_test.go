package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/lag"
	"buckthornridge/quarantine"
	"buckthornridge/relay"
	"buckthornridge/traffic"
)

// unreadBody fails the test when it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// fullLink returns the decisions of a link of 8 Mbit/s at which answers wait for a time.
func fullLink(delay time.Duration) *callerLink {
	l := newCallerLink(8)
	l.state.Observe(time.Now(), 1, delay)
	return l
}

// linkHandler returns a handler with one route to a service and the given link.
func linkHandler(l *callerLink, kind relay.Kind) *callerHandler {
	var catalogue relay.CurrentCatalogue
	catalogue.Advance(relay.NewCatalogue(relay.Definition{
		Version:  1,
		Routes:   []relay.Route{{Name: "r", Host: "h", Prefix: "/", Public: true, Kind: kind, Timeout: time.Second, Services: []relay.WeightedService{{Service: "s", Weight: 1}}}},
		Services: []relay.Service{{Name: "s"}},
	}))
	served := &relay.Relay{Catalogue: &catalogue, Guard: quarantine.NewGuard(nil), Recorder: newMetrics(), RetryBudget: relay.NewRetryBudget(relay.RetryPolicy{Window: time.Second}), Routers: func() int { return 1 }}
	return &callerHandler{protocol: testProtocol(), relay: served, catalogue: &catalogue, stopping: new(atomic.Bool), active: new(atomic.Int64), delay: new(lag.Meter), link: l}
}

// Guards against a call that must not run twice and whose answer would wait past its time at a full
// link: it is refused by its head, its body is not read, and its caller is sent elsewhere.
func TestFullLinkRefusesByTheHead(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := linkHandler(fullLink(900*time.Millisecond), relay.AtMostOnce)
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://h/x", unreadBody{t})
		r.Header.Set("Id", "r1")
		h.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Connection"), "close")
		after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after <= requestTimeout.Seconds()/latestReturn+0.001)
		is.Equal(h.link.scheduled.Load(), int64(1))
	})
}

// Load: many refused callers on a full link. They come back spread out, not all at once.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := fullLink(time.Second)
		time.Sleep(3 * time.Second) // the balancer has moved the new callers
		q := &relay.Request{Arrived: time.Now(), CallerTimeout: 9 * time.Second}
		problem := &relay.Problem{Status: http.StatusServiceUnavailable, RetryAfter: 50 * time.Millisecond}
		times := map[time.Duration]int{}
		for range 100 {
			times[l.schedule(problem, q, 1, 9000).RetryAfter]++
		}
		is.True(len(times) > 20)
		is.Equal(problem.RetryAfter, 50*time.Millisecond)
		certain := &relay.Problem{Status: http.StatusPaymentRequired}
		is.Equal(l.schedule(certain, q, 1, 9000), certain)
	})
}

// A link with room changes nothing, and neither does one of unknown rate.
func TestLinkWithRoom(t *testing.T) {
	is := is.New(t)
	is.True(newCallerLink(0) == nil)
	var none *callerLink
	is.True(!none.saturated() && !none.held() && none.answerDelay() == 0 && none.outgoingPacer() == nil)
	none.observe(time.Now(), traffic.Snapshot{}, time.Second, 1, time.Second)
	l := newCallerLink(8)
	l.observe(time.Now(), traffic.Snapshot{}, time.Second, 0.4, 3*time.Millisecond)
	is.True(!l.saturated() && !l.held() && l.answerDelay() == 0)
	is.True(l.outgoingPacer() == nil) // no body waits for another one
	is.True(fullLink(time.Second).outgoingPacer() != nil)
}

// Guards against a configuration that stays out of force because the feed has stalled: a poll
// stays open for longer only while a peer has just told its versions.
func TestPollIsLongOnlyBesidePeers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &follower{wait: feedWaitOf(3 * time.Second), longWait: longFeedWaitOf(3 * time.Second)}
		is.Equal(f.currentWait(), 750*time.Millisecond)
		f.comparedAt.set()
		is.Equal(f.currentWait(), 2*time.Second)
		is.True(f.currentWait()+feedSlack < 3*time.Second)
		time.Sleep(versionTTL + time.Millisecond)
		is.Equal(f.currentWait(), 750*time.Millisecond)
		is.Equal(longFeedWaitOf(300*time.Millisecond), feedWaitOf(300*time.Millisecond))
	})
}
