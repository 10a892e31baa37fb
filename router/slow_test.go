package router

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
)

// pipeListener is a listener of in-memory connections, which work in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Callers open connections and send slowly, or stop sending, which uses up memory
// and file descriptors. Each connection must be closed at its limit, even while the
// caller still sends.
func TestSlowCallersAreDisconnected(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: x\r\n"
	for _, c := range []struct {
		name, first, repeated string
		limit                 time.Duration
		response              string // prefix of the response, empty if none is expected
	}{
		{"nothing sent", "", "", headerTimeout, ""},
		{"slow header", head, "X-A: b\r\n", headerTimeout, ""},
		{"slow body", head + "Content-Length: 1000\r\n\r\n", "x", bodyTimeout, ""},
		{"idle after a response", head + "Content-Length: 0\r\n\r\n", "", idleTimeout, "HTTP/1.1 200"},
		{"oversized header", head + "X: " + strings.Repeat("a", 2*maxHeaderBytes), "", time.Second, "HTTP/1.1 431"},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				listener := pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				server := callerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if _, err := io.Copy(io.Discard, r.Body); err == nil {
						w.WriteHeader(http.StatusOK)
					}
				}))
				go func() { _ = server.Serve(listener) }()
				clientConn, serverConn := net.Pipe()
				listener.conns <- serverConn
				started := time.Now()
				var sender sync.WaitGroup
				sender.Go(func() { sendSlowly(clientConn, c.first, c.repeated) })
				response, _ := io.ReadAll(clientConn) // until the server closes the connection
				is.True(strings.HasPrefix(string(response), c.response))
				is.True(time.Since(started) <= c.limit+time.Second)
				clientConn.Close()
				sender.Wait()
				is.NoErr(server.Close())
			})
		})
	}
}

// sendSlowly writes first at once and then more every second until the connection is
// closed.
func sendSlowly(conn net.Conn, first, more string) {
	_, err := io.WriteString(conn, first)
	for err == nil && more != "" {
		time.Sleep(time.Second)
		_, err = io.WriteString(conn, more)
	}
}
