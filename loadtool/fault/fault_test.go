package fault

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"buckthornridge/bubble"
)

func TestEachKindIsSentToItsTarget(t *testing.T) {
	is := is.New(t)
	var seen []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen = append(seen, r.URL.Path+" "+string(body))
		if strings.Contains(string(body), "bad") {
			w.WriteHeader(http.StatusBadRequest)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var lines bytes.Buffer
	bought := 0.0
	executor := &Executor{
		PlatformAddress: address, Upstreams: map[string]string{"e": address}, Requests: &lines, Client: server.Client(),
		TopUp: func(_ context.Context, share float64) error { bought = share; return nil },
	}
	for _, f := range []Fault{
		{Kind: Process, Verb: Kill, Target: "router-1"},
		{Kind: Platform, Body: `{"down":true}`},
		{Kind: State, Target: "vm-1", Body: "gone"},
		{Kind: Upstream, Target: "e", Body: `{"stall":true}`},
		{Kind: Limit, Target: "e", Body: `{"per_second":2}`},
		{Kind: TopUp, Share: 0.5},
	} {
		is.NoErr(executor.Do(t.Context(), f))
	}
	is.Equal(lines.String(), "kill router-1\n")
	is.Equal(seen, []string{`/debug/faults {"down":true}`, `/debug/vms {"id":"vm-1","state":"gone"}`, `/debug/faults {"stall":true}`, `/debug/limit {"per_second":2}`})
	is.Equal(bought, 0.5)
	is.True(executor.Do(t.Context(), Fault{Kind: Platform, Body: "bad"}) != nil)
	is.True(executor.Do(t.Context(), Fault{Kind: "other"}) != nil)
	executor.Requests = nil
	is.True(executor.Do(t.Context(), Fault{Kind: Process, Verb: Kill, Target: "router-1"}) != nil)
}

func TestFaultsAreInjectedAtTheirTimes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		failure := eris.New("top-up failed")
		executor := &Executor{
			Resolve: func(target string) string { return "resolved " + target },
			TopUp:   func(context.Context, float64) error { return failure },
		}
		var at []time.Duration
		executor.Run(t.Context(), start, []Fault{{Kind: TopUp, At: time.Second}, {Kind: TopUp, At: 3 * time.Second, Target: "x"}}, func(d Done, err error) {
			at = append(at, d.When.Sub(start))
			is.Equal(err, failure)
			is.True(strings.HasPrefix(d.Target, "resolved "))
		})
		is.Equal(at, []time.Duration{time.Second, 3 * time.Second})
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		executor.Run(ended, start, []Fault{{At: time.Hour}}, func(Done, error) { t.Error("a fault was injected after the context ended") })
	})
}
