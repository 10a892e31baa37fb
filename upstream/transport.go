package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/httpconn"
)

// Settings of the shared transport.
const (
	dialTimeout = 2 * time.Second
	// idleTimeout is well below the idle timeout of the upstreams, so that a
	// connection is seldom reused while the upstream is closing it.
	idleTimeout = 30 * time.Second
	// maxIdlePerUpstream is large enough to keep a connection for each stream of
	// a busy upstream.
	maxIdlePerUpstream = 2048
	// bufferBytes is small because each open stream has a connection of its own
	// and token lines are short.
	bufferBytes = 2 << 10
)

// NewTransport returns the transport that the clients of all upstreams share.
// It ignores proxy settings and does not follow redirects.
func NewTransport() *httpconn.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return httpconn.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	})
}

// trackedConn counts the attempted writes on a connection. The count shows
// whether some bytes of a request may have been sent.
type trackedConn struct {
	net.Conn
	writes atomic.Int64 // sealedWrites once sealed
}

// Unwrap returns the underlying connection.
func (c *trackedConn) Unwrap() net.Conn { return c.Conn }

// sealedWrites is the write count of a connection that rejects all writes.
const sealedWrites = -1

var errSealed = eris.New("connection sealed before the request's first byte")

// Write implements net.Conn. It increments the count before it writes: a failed
// write counts too, since part of the data may have been sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	for {
		n := c.writes.Load()
		if n == sealedWrites {
			return 0, errSealed
		}
		if c.writes.CompareAndSwap(n, n+1) {
			return c.Conn.Write(p)
		}
	}
}

// seal closes the connection and blocks further writes, provided that the count
// is still writesBefore. It reports whether it did.
//
// A request can fail, because its context ends for example, while the transport's
// write goroutine is about to write it. Without the seal the caller would get
// ErrNotSent although the upstream receives the request a moment later.
func (c *trackedConn) seal(writesBefore int64) bool {
	if !c.writes.CompareAndSwap(writesBefore, sealedWrites) {
		return false
	}
	_ = c.Close()
	return true
}

// sendTrace records the connections that the transport used for one request.
type sendTrace struct {
	conns     []tracedConn
	untracked bool // a connection without a write count was used
}

// tracedConn is a connection and its write count when the request got it.
type tracedConn struct {
	conn         *trackedConn
	writesBefore int64
}

// withTrace returns a context with which a request's connections are recorded in t.
func (t *sendTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	conn := tracked(info.Conn)
	if conn == nil {
		t.untracked = true
		return
	}
	t.conns = append(t.conns, tracedConn{conn: conn, writesBefore: conn.writes.Load()})
}

// tracked returns the tracked connection, also from beneath TLS, or nil.
func tracked(conn net.Conn) *trackedConn {
	if layer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = layer.NetConn()
	}
	if response, ok := conn.(*httpconn.Conn); ok {
		conn = response.Unwrap()
	}
	found, _ := conn.(*trackedConn)
	return found
}

// sealUnsent seals those connections of a failed request on which nothing of it
// was written. It reports whether no byte of the request was sent; none can then
// be sent later. It is called once, after RoundTrip returned an error.
func (t *sendTrace) sealUnsent() bool {
	if t.untracked {
		return false
	}
	allUnsent := true
	for _, c := range t.conns {
		if !c.conn.seal(c.writesBefore) {
			allUnsent = false
		}
	}
	return allUnsent
}

// sendFailure returns ErrNotSent for a request that was certainly not sent, and
// ErrBroken for one that may have run.
func (t *sendTrace) sendFailure() error {
	if t.sealUnsent() {
		return ErrNotSent
	}
	return ErrBroken
}
