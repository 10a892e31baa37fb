package router

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipes is a listener whose connections are in memory, for virtual time.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p pipes) Close() error {
	close(p.closed)
	return nil
}

func (pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Callers open connections and send slowly, or nothing more, to use up memory and
// descriptors. Each is cut off after its limit, whatever it still trickles.
func TestSlowCallersAreCutOff(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: x\r\n"
	for _, c := range []struct {
		name, first, trickle string
		limit                time.Duration
		answer               string // begins with this, if there is one
	}{
		{"nothing sent", "", "", headerTimeout, ""},
		{"header trickles", head, "X-A: b\r\n", headerTimeout, ""},
		{"body trickles", head + "Content-Length: 1000\r\n\r\n", "x", bodyTimeout, ""},
		{"idle after an answer", head + "Content-Length: 0\r\n\r\n", "", idleTimeout, "HTTP/1.1 200"},
		{"huge header", head + "X: " + strings.Repeat("a", 2*maxHeaderBytes), "", time.Second, "HTTP/1.1 431"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				listener := pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
				server := callerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if _, err := io.Copy(io.Discard, r.Body); err == nil {
						w.WriteHeader(http.StatusOK)
					}
				}))
				go func() { _ = server.Serve(listener) }()
				near, far := net.Pipe()
				listener.conns <- far
				began := time.Now()
				var sender sync.WaitGroup
				sender.Go(func() { trickle(near, c.first, c.trickle) })
				answer, _ := io.ReadAll(near) // ends when the server closes
				is.True(strings.HasPrefix(string(answer), c.answer))
				is.True(time.Since(began) <= c.limit+time.Second)
				near.Close()
				sender.Wait()
				is.NoErr(server.Close())
			})
		})
	}
}

// trickle sends the first bytes at once and then a few more each second until the
// connection is closed.
func trickle(conn net.Conn, first, more string) {
	_, err := io.WriteString(conn, first)
	for err == nil && more != "" {
		time.Sleep(time.Second)
		_, err = io.WriteString(conn, more)
	}
}
