package httpclient_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"buckthornridge/store"
	"buckthornridge/store/httpclient"
	"buckthornridge/store/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Something between the client and the platform answers in its own way: a proxy
// with its own 503 after it passed the commit on, a truncated body, a page of
// HTML. A client that takes any of these for "no effect" writes twice.
func TestWhatAnAnswerMeans(t *testing.T) {
	cases := map[string]struct {
		answer http.HandlerFunc
		write  error
		read   error
	}{
		"unmarked 503":    {status(503), store.ErrOutcomeUnknown, store.ErrUnavailable},
		"unmarked, good":  {unmarkedGood, store.ErrOutcomeUnknown, store.ErrUnavailable},
		"unmarked 404":    {status(404), store.ErrOutcomeUnknown, store.ErrUnavailable},
		"page of HTML":    {body("<html>"), store.ErrOutcomeUnknown, store.ErrUnavailable},
		"empty object":    {body("{}"), store.ErrOutcomeUnknown, store.ErrUnavailable},
		"truncated":       {truncated, store.ErrOutcomeUnknown, store.ErrUnavailable},
		"dropped":         {dropped, store.ErrOutcomeUnknown, store.ErrUnavailable},
		"too long":        {tooLong, store.ErrOutcomeUnknown, store.ErrUnavailable},
		"marked 503":      {marked("unavailable"), store.ErrUnavailable, store.ErrUnavailable},
		"marked unknown":  {marked("outcome-unknown"), store.ErrOutcomeUnknown, store.ErrUnavailable},
		"marked, no such": {marked("surprise"), store.ErrOutcomeUnknown, store.ErrUnavailable},
		"marked conflict": {marked("condition-failed"), store.ErrConditionFailed, store.ErrConditionFailed},
		"rows of others":  {body(`{"rows":[{"key":"0","version":1}],"version":0}`), store.ErrOutcomeUnknown, store.ErrUnavailable},
		"a row unasked":   {body(`{"rows":[{"key":"a","version":1},{"key":"b","version":1}]}`), store.ErrOutcomeUnknown, store.ErrUnavailable},
		"a row too many":  {body(`{"rows":[{"key":"b","version":1},{"key":"c","version":1}]}`), store.ErrOutcomeUnknown, store.ErrUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.answer)
			defer server.Close()
			services, stop := connect(server.Listener.Addr().String())
			defer stop()
			_, err := services.Table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "a"}}})
			is.True(errors.Is(err, c.write))
			is.True(strings.Contains(err.Error(), "table commit "+server.Listener.Addr().String()))
			_, err = services.Table.Read(t.Context(), "a")
			is.True(errors.Is(err, c.read))
			_, err = services.Table.Scan(t.Context(), "", "a", 1)
			is.True(errors.Is(err, c.read))
			_, _, err = services.VMs.List(t.Context())
			is.True(errors.Is(err, c.read))
		})
	}
}

// An object that is longer than any may be must not come back cut short.
func TestOversizedObjectIsNotCutShort(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(tooLong))
	defer server.Close()
	services, stop := connect(server.Listener.Addr().String())
	defer stop()
	_, err := services.Objects.Get(t.Context(), "o")
	is.True(errors.Is(err, store.ErrUnavailable))
}

// A platform that takes a request and says nothing must not hold a caller that
// set no deadline of its own.
func TestTimeoutWithoutDeadline(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer server.Close()
	client := httpclient.New(httpclient.Options{Address: server.Listener.Addr().String(), Timeout: time.Millisecond})
	defer client.Close()
	_, err := client.Services().Table.Commit(context.Background(), store.Txn{Writes: []store.Write{{Key: "a"}}})
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// A commit that never got a connection certainly took no effect.
func TestRefusedDialIsUnavailable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	services, stop := connect(address)
	defer stop()
	_, err = services.Table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "a"}}})
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrOutcomeUnknown))
}

func connect(address string) (store.Services, func()) {
	client := httpclient.New(httpclient.Options{Address: address, VM: "router-1"})
	return client.Services(), client.Close
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func body(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

func marked(code wire.Code) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderError, string(code))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func unmarkedGood(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(`{"version":7,"rows":[{"key":"a","version":7}],"vms":[]}`))
}

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"version":7,"rows":[{"key":"a","version":7}]}`))
}

func dropped(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func tooLong(w http.ResponseWriter, _ *http.Request) {
	chunk := []byte(strings.Repeat(" ", 1<<20))
	for range store.MaxObjectBytes/len(chunk) + 1 {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}
