package platform_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/settings"
	standin "buckthornridge/standin/platform"
	"buckthornridge/store"
	"buckthornridge/store/storetest"
	"buckthornridge/store/wire"
)

// sendRequest calls the handler directly, without a network.
func sendRequest(server *standin.Server, method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

func TestRejectsMalformedRequests(t *testing.T) {
	cases := map[string]struct {
		method, path, body string
		status             int
		code               wire.Code
	}{
		"no body":             {"POST", wire.PathCommit, "", 400, "invalid"},
		"invalid JSON":        {"POST", wire.PathCommit, "{", 400, "invalid"},
		"unknown field":       {"POST", wire.PathCommit, `{"writes":[{"key":"x"}],"write":[]}`, 400, "invalid"},
		"wrong type":          {"POST", wire.PathCommit, `{"writes":"x"}`, 400, "invalid"},
		"value not base64":    {"POST", wire.PathCommit, `{"writes":[{"key":"x","value":"!"}]}`, 400, "invalid"},
		"two messages":        {"POST", wire.PathCommit, `{"writes":[{"key":"x"}]}{}`, 400, "invalid"},
		"invalid UTF-8":       {"POST", wire.PathCommit, "{\"writes\":[{\"key\":\"\xff\"}]}", 400, "invalid"},
		"empty transaction":   {"POST", wire.PathCommit, `{}`, 400, "invalid"},
		"oversized body":      {"POST", wire.PathCommit, strings.Repeat(" ", wire.MaxRequestBytes+1), 413, "too-large"},
		"read":                {"POST", wire.PathRead, `[]`, 400, "invalid"},
		"scan":                {"POST", wire.PathScan, `{"limit":0}`, 400, "invalid"},
		"announce":            {"POST", wire.PathVMs, `{"id":"a"}`, 400, "invalid"},
		"object name":         {"PUT", wire.PathObjects + "/%2Fx", "", 400, "invalid"},
		"oversized object":    {"PUT", wire.PathObjects + "/x", strings.Repeat(" ", store.MaxObjectBytes+1), 413, "too-large"},
		"unknown model":       {"GET", wire.PathWeights + "/huge", "", 404, "not-found"},
		"wrong method":        {"PUT", wire.PathCommit, "", 405, ""},
		"unknown path":        {"GET", "/v1/rows", "", 404, ""},
		"unknown fault":       {"POST", "/debug/faults", `{"dwon":true}`, 400, "invalid"},
		"fraction over 1":     {"POST", "/debug/faults", `{"lose_rate":1.5}`, 400, "invalid"},
		"negative rate":       {"POST", "/debug/faults", `{"writes_per_second":-1}`, 400, "invalid"},
		"fractional count":    {"POST", "/debug/faults", `{"lose_next":0.5}`, 400, "invalid"},
		"state of unknown VM": {"POST", "/debug/vms", `{"id":"a","state":"gone"}`, 404, "not-found"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := standin.NewServer(contractSettings())
			got := sendRequest(server, c.method, c.path, c.body)
			is.Equal(got.Code, c.status)
			is.Equal(got.Header().Get(wire.HeaderError), string(c.code))
			is.Equal(len(server.Fake().Dump("")), 0)
			is.Equal(server.Fake().Faults().LoseRate, 0.0)
		})
	}
}

func TestDebugFaultsChangesOnlyNamedFaults(t *testing.T) {
	is := is.New(t)
	s := contractSettings()
	s.WritesPerSecond = 600
	server := standin.NewServer(s)
	is.Equal(sendRequest(server, "POST", "/debug/faults", `{"latency":"2ms","cut":["a"],"lose_next":1}`).Code, 200)
	want := store.Faults{WritesPerSecond: 600, Latency: 2 * time.Millisecond, PartitionedVMs: []string{"a"}, LoseNext: 1}
	is.Equal(server.Fake().Faults(), want)
	// POST accepts the output of GET.
	shown := sendRequest(server, "GET", "/debug/faults", "").Body.String()
	is.Equal(sendRequest(server, "POST", "/debug/faults", shown).Code, 200)
	is.Equal(server.Fake().Faults(), want)
	is.Equal(sendRequest(server, "POST", "/debug/faults", `{"cut":[],"lose_next":0,"latency":"0s"}`).Code, 200)
	is.Equal(len(server.Fake().Faults().PartitionedVMs), 0)
}

func TestDebugViews(t *testing.T) {
	is := is.New(t)
	server := standin.NewServer(contractSettings())
	is.Equal(sendRequest(server, "POST", wire.PathCommit, `{"writes":[{"key":"a/1","value":"MQ=="},{"key":"b/1"}]}`).Code, 200)
	is.Equal(sendRequest(server, "POST", "/debug/faults", `{"down":true,"vm_list_lag":"1h","delay_next":1}`).Code, 200)
	var table wire.RowsResponse
	decodeResponse(t, sendRequest(server, "GET", "/debug/table?prefix=a/", ""), &table)
	is.Equal(table.Rows, []store.Row{{Key: "a/1", Value: []byte("1"), Version: 1}})
	var counters store.Counters
	decodeResponse(t, sendRequest(server, "GET", "/debug/counters", ""), &counters)
	is.Equal(counters, store.Counters{Commits: 1, Txns: 1, RowsWritten: 2})

	is.Equal(sendRequest(server, "POST", "/debug/faults", `{"down":false,"delay_next":0}`).Code, 200)
	announced := `{"id":"a","incarnation":"1","role":"router","data_centre":"","region":"","address":"","state":"live"}`
	is.Equal(sendRequest(server, "POST", wire.PathVMs, announced).Code, 200)
	is.Equal(sendRequest(server, "POST", "/debug/vms", `{"id":"a","state":"leaving"}`).Code, 200)
	var vms []store.VM
	decodeResponse(t, sendRequest(server, "GET", "/debug/vms", ""), &vms)
	is.Equal(vms[0].State, store.VMLeaving)
	is.Equal(sendRequest(server, "GET", "/debug/vars", "").Code, 200)
	is.Equal(sendRequest(server, "GET", "/healthz", "").Code, 200)
}

func TestDebugRelease(t *testing.T) {
	is := is.New(t)
	s := contractSettings()
	s.DelayNext = 1
	server := standin.NewServer(s)
	func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
		sendRequest(server, "POST", wire.PathCommit, `{"writes":[{"key":"a"}]}`)
	}()
	is.Equal(len(server.Fake().Dump("")), 0)
	is.Equal(sendRequest(server, "POST", "/debug/release", "").Code, 200)
	is.Equal(len(server.Fake().Dump("")), 1)
}

func decodeResponse(t *testing.T, got *httptest.ResponseRecorder, into any) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.Code, 200)
	is.NoErr(json.Unmarshal(got.Body.Bytes(), into))
}

// The rate limit of the weight store applies to all downloads together: two
// concurrent downloads of the same weights take about twice as long as one.
func TestDownloadsShareWeightRate(t *testing.T) {
	for downloads, want := range map[int]time.Duration{1: 3750 * time.Millisecond, 2: 7750 * time.Millisecond} {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			server := standin.NewServer(contractSettings())
			start := time.Now()
			var wg sync.WaitGroup
			for range downloads {
				wg.Go(func() {
					got := sendRequest(server, "GET", wire.PathWeights+"/small", "")
					is.Equal(int64(got.Body.Len()), storetest.Weights[0].Bytes)
				})
			}
			wg.Wait()
			is.Equal(time.Since(start).Round(time.Millisecond), want)
		})
	}
}

func TestWeightDownloadStopsWhenClientDisconnects(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := standin.NewServer(contractSettings())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest("GET", wire.PathWeights+"/small", nil).WithContext(ctx)
		server.ServeHTTP(recorder, request)
		is.True(recorder.Body.Len() < 1<<20)
	})
}

// A commit that is in progress when the stand-in is stopped must get its response
// before Run returns.
func TestShutdownCompletesActiveRequests(t *testing.T) {
	is := is.New(t)
	server := standin.NewServer(contractSettings())
	listener := listen(t)
	ctx, stop := context.WithCancel(t.Context())
	server.Fake().SetHooks(store.Hooks{Before: func(store.Call) {
		stop()
		for { // until the listener is closed, which Shutdown does first
			probe, err := http.Get("http://" + listener.Addr().String() + "/healthz")
			if err != nil {
				return
			}
			probe.Body.Close()
		}
	}})
	runErr := make(chan error, 1)
	go func() { runErr <- standin.Run(ctx, listener, server) }()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	url := "http://" + listener.Addr().String() + wire.PathCommit
	response, err := (&http.Client{Transport: transport}).Post(url, "application/json", strings.NewReader(`{"writes":[{"key":"a"}]}`))
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(string(body), `{"version":1}`)
	is.NoErr(<-runErr)
}

func TestSettingsFile(t *testing.T) {
	is := is.New(t)
	s := standin.DefaultSettings()
	is.NoErr(settings.Decode("s.json", []byte(`{
		// overrides the defaults
		"address": "127.0.0.1:1", "latency": "3ms", "weights": [{"model": "m", "version": "1", "bytes": 5}],
	}`), &s))
	is.Equal(s.Address, "127.0.0.1:1")
	is.Equal(s.WritesPerSecond, standin.Rate(600))
	is.Equal(s.ReadsPerSecond, standin.Rate(2000))
	is.Equal(s.Latency.D(), 3*time.Millisecond)
	for text, position := range map[string]string{
		`{"adress": ""}`:               "s.json:1:2: ",
		"{\n \"lose_rate\": 2}":        "s.json:2:15: ",
		`{"weights": [{"bytes": -5}]}`: "s.json:1:24: ",
	} {
		err := settings.Decode("s.json", []byte(text), &s)
		is.True(err != nil)
		is.True(strings.HasPrefix(err.Error(), position)) // file:line:column
	}
}
