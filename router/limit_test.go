package router

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/config"
	"buckthornridge/membership"
	"buckthornridge/ratelimit"
	"buckthornridge/request"
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

// Guards against a server that names how many rejections it bears and gets more calls at once than it has slots.
func TestServerThatBearsFewRejectionsIsNotOverfilled(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderRejectionLimit, "1")
	}))
	defer server.Close()
	snapshot := &config.Snapshot{Document: config.Document{Upstreams: map[string]config.Upstream{
		"s1": {Kind: config.UpstreamService, Address: strings.TrimPrefix(server.URL, "http://"), Service: "orders", Slots: 8},
	}}}
	table := routing.NewTable()
	table.Update(snapshot)
	p := newPool(table, time.Second)
	defer p.transport.CloseIdleConnections()
	p.setRouters("r0", []string{"r0", "r1"})
	p.update(snapshot)
	service, err := p.service("s1")
	is.NoErr(err)
	_, err = service.Do(t.Context(), upstream.Call{RequestID: "r", Method: "GET", Path: "/x"})
	is.NoErr(err)
	routes, err := routing.NewRouter(table, "")
	is.NoErr(err)
	taken := 0
	for range 20 {
		if _, err := routes.Pick(routing.Request{Target: routing.Target{Service: "orders"}}); err == nil {
			taken++
		}
	}
	is.Equal(taken, ratelimit.BoundedSlots(8)/2)
}

// Guards against a server whose answers say that it leaves and that gets further calls.
func TestServerThatSaysItLeavesGetsNoFurtherCalls(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		w.Header().Set(wire.HeaderLeaving, wire.LeavingValue)
	}))
	defer server.Close()
	snapshot := &config.Snapshot{Document: config.Document{Upstreams: map[string]config.Upstream{
		"s1": {Kind: config.UpstreamService, Address: strings.TrimPrefix(server.URL, "http://"), Service: "orders", Slots: 8},
	}}}
	table := routing.NewTable()
	table.Update(snapshot)
	p := newPool(table, time.Second)
	p.onLeaving = func(id string, _ config.UpstreamKind) { table.SetState(id, membership.Leaving) }
	defer p.transport.CloseIdleConnections()
	p.update(snapshot)
	routes, err := routing.NewRouter(table, "")
	is.NoErr(err)
	refused := 0
	for range 10 {
		choice, err := routes.Pick(routing.Request{Target: routing.Target{Service: "orders"}})
		if err != nil {
			refused++
			continue
		}
		service, err := p.service(choice.UpstreamID)
		is.NoErr(err)
		_, err = service.Do(t.Context(), upstream.Call{RequestID: "r", Method: "GET", Path: "/x"})
		is.NoErr(err)
		choice.Done(routing.Outcome{Kind: routing.OutcomeOK, Total: time.Millisecond})
	}
	is.Equal(arrivals.Load(), int64(1))
	is.Equal(refused, 9)
}

// Guards against a server that asks a router for rest and gets its further calls.
func TestServerThatAsksForRestGetsNoCalls(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		w.Header().Set(wire.HeaderRest, "30")
		w.WriteHeader(http.StatusServiceUnavailable)
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
	for range 10 {
		choice, err := routes.Pick(routing.Request{Target: routing.Target{Service: "orders"}})
		var none *routing.NoUpstreamError
		if errors.As(err, &none) {
			is.True(none.Limited && none.RetryAfter > 20*time.Second)
			continue
		}
		service, err := p.service(choice.UpstreamID)
		is.NoErr(err)
		_, err = service.Do(t.Context(), upstream.Call{RequestID: "r", Method: "GET", Path: "/x"})
		is.NoErr(err)
		choice.Done(routing.Outcome{Kind: routing.OutcomeOK, Total: time.Millisecond})
	}
	is.Equal(arrivals.Load(), int64(1))
}

// Guards against an engine that says in a refusal for how long it wants no requests and gets the next one at once.
func TestRefusalOfAnEngineNamesItsRest(t *testing.T) {
	is := is.New(t)
	snapshot := &config.Snapshot{Document: config.Document{Upstreams: map[string]config.Upstream{
		"e1": {Kind: config.UpstreamEngine, Address: "127.0.0.1:1", Models: []string{"m"}, Slots: 8},
	}}}
	table := routing.NewTable()
	table.Update(snapshot)
	p := newPool(table, time.Second)
	p.update(snapshot)
	routes, err := routing.NewRouter(table, "")
	is.NoErr(err)
	port := routingPort{router: routes, pool: p}
	choice, err := port.Pick(&request.Request{Generate: &request.Generate{Model: "m"}}, nil)
	is.NoErr(err)
	choice.Done(request.AttemptResult{Err: &upstream.RefusedError{Reason: upstream.RefusedFull, RetryAfter: 30 * time.Second}})
	_, err = port.Pick(&request.Request{Generate: &request.Generate{Model: "m"}}, nil)
	var problem *request.Problem
	is.True(errors.As(err, &problem) && problem.RetryAfter > 20*time.Second)
}
