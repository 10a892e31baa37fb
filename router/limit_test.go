package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/config"
	"buckthornridge/routing"
	"buckthornridge/upstream"
	"buckthornridge/upstream/wire"
)

// Guards against a server that names the rate it takes and gets every call of this router.
func TestServerGetsNoMoreThanItNames(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		w.Header().Set(wire.HeaderRateLimit, "2")
	}))
	defer server.Close()
	snapshot := &config.Snapshot{Document: config.Document{Upstreams: map[string]config.Upstream{
		"s1": {Kind: config.UpstreamService, Address: strings.TrimPrefix(server.URL, "http://"), Service: "orders", Slots: 8},
	}}}
	table := routing.NewTable()
	table.Update(snapshot)
	p := newPool(table, time.Second)
	defer p.transport.CloseIdleConnections()
	p.update(snapshot)
	routes, err := routing.NewRouter(table, "")
	is.NoErr(err)
	for range 100 {
		choice, err := routes.Pick(routing.Request{Target: routing.Target{Service: "orders"}})
		if err != nil {
			continue
		}
		service, err := p.service(choice.UpstreamID)
		is.NoErr(err)
		_, err = service.Do(t.Context(), upstream.Call{RequestID: "r", Method: "GET", Path: "/x"})
		is.NoErr(err)
		choice.Done(routing.Outcome{Kind: routing.OutcomeOK, Total: time.Millisecond})
	}
	is.True(arrivals.Load() >= 1 && arrivals.Load() <= 1.5*2*4+5)
}
