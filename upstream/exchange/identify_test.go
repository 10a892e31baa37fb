package exchange

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/upstream"
)

// process is a server at an address that tells which process it is.
type process struct {
	server *http.Server
	asked  atomic.Int64
	ran    atomic.Int64
}

func startProcess(t *testing.T, address string, number int64) *process {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{}
	p.server = &http.Server{Addr: l.Addr().String(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/who" {
			p.asked.Add(1)
			if number == 0 {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			fmt.Fprint(w, number)
			return
		}
		p.ran.Add(1)
	})}
	go func() { _ = p.server.Serve(l) }()
	t.Cleanup(func() { p.server.Close() })
	return p
}

func who(process int64, since time.Time) func() *Identification {
	return func() *Identification {
		return &Identification{Process: process, OpenedSince: since, Target: "/who", Read: func(status int, body []byte) (int64, bool) {
			n, err := strconv.ParseInt(string(body), 10, 64)
			return n, status == http.StatusOK && err == nil
		}}
	}
}

// exchangeIdentified sends a request and returns which process answered.
func exchangeIdentified(t *testing.T, p *Pool, address string, identify func() *Identification) (*Response, error) {
	t.Helper()
	r, err := p.Do(t.Context(), address, &Request{
		Method: http.MethodGet, Target: "/", Host: "x", Identify: identify, ResponseMatches: func(http.Header) bool { return true },
	})
	if err == nil {
		b := make([]byte, 1)
		_, _ = r.Read(b)
		r.Close()
	}
	return r, err
}

// Guards against a stream that is continued by a process that has started again under the
// id and address of the one that is meant, also where an idle connection was left by it.
func TestOnlyTheMeantProcessGetsTheRequest(t *testing.T) {
	is := is.New(t)
	pool := NewPool(nil)
	first := startProcess(t, "127.0.0.1:0", 1)
	address := first.server.Addr
	for range 3 {
		r, err := exchangeIdentified(t, pool, address, who(1, time.Time{}))
		is.NoErr(err)
		is.Equal(r.Process, int64(1))
	}
	is.Equal(first.asked.Load(), int64(1)) // a connection is asked once
	first.server.Close()
	second := startProcess(t, address, 2)
	_, err := exchangeIdentified(t, pool, address, who(1, time.Time{}))
	is.True(errors.Is(err, upstream.ErrNotSent) && errors.Is(err, upstream.ErrOtherProcess))
	is.Equal(second.ran.Load(), int64(0))
	r, err := exchangeIdentified(t, pool, address, who(0, time.Time{}))
	is.NoErr(err)
	is.Equal(r.Process, int64(2))
}

// Guards against questions for connections that are older than the doubt, and against an
// upstream that does not answer them and gets no requests at all.
func TestIdentificationIsAskedOnlyInDoubt(t *testing.T) {
	is := is.New(t)
	pool := NewPool(nil)
	p := startProcess(t, "127.0.0.1:0", 1)
	_, err := exchangeIdentified(t, pool, p.server.Addr, nil)
	is.NoErr(err)
	r, err := exchangeIdentified(t, pool, p.server.Addr, who(0, time.Now().Add(time.Hour)))
	is.NoErr(err)
	is.True(r.Process == 0 && !r.Unidentified)
	is.Equal(p.asked.Load(), int64(0))

	silent := startProcess(t, "127.0.0.1:0", 0)
	r, err = exchangeIdentified(t, pool, silent.server.Addr, who(0, time.Time{}))
	is.NoErr(err)
	is.True(r.Process == 0 && r.Unidentified)
	_, err = exchangeIdentified(t, pool, silent.server.Addr, who(1, time.Time{}))
	is.True(errors.Is(err, upstream.ErrNotSent))
	is.Equal(silent.ran.Load(), int64(1))
}
