package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Settings of the shared transport.
const (
	dialTimeout = 2 * time.Second
	// idleTimeout is well under the upstreams' own, so that a connection is
	// seldom reused at the moment at which the upstream closes it.
	idleTimeout = 30 * time.Second
	// idlePerUpstream keeps a connection for each stream of a busy upstream.
	idlePerUpstream = 2048
	// bufferBytes is small because every open stream holds a connection and
	// token lines are short.
	bufferBytes = 2 << 10
)

// NewTransport returns the transport that the clients of all upstreams share.
// It follows no proxy settings and no redirects.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
}

// trackedConn counts the writes that were tried on a connection, so that "no
// byte was sent" can be told from "some may have been".
type trackedConn struct {
	net.Conn
	writes atomic.Int64 // sealedWrites once sealed
}

const sealedWrites = -1

var errSealed = eris.New("connection sealed before its first byte")

// Write counts before it writes: a write that fails counts too, since part of
// it may have left.
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

// seal forbids further writes if none was tried since the count was at mark. It
// reports whether it did.
//
// A request can fail, by its context for example, while the transport's writer
// is about to write it. Without the seal the caller would be told "not sent"
// and the upstream would get the request a moment later.
func (c *trackedConn) seal(mark int64) bool {
	if !c.writes.CompareAndSwap(mark, sealedWrites) {
		return false
	}
	_ = c.Close()
	return true
}

// sendTrace follows the connections that one request was given.
type sendTrace struct {
	conns []tracedConn
	blind bool // a connection that cannot be followed was used
}

type tracedConn struct {
	conn *trackedConn
	mark int64
}

// withTrace returns a context under which t follows a request's connections.
func (t *sendTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	conn := tracked(info.Conn)
	if conn == nil {
		t.blind = true
		return
	}
	t.conns = append(t.conns, tracedConn{conn: conn, mark: conn.writes.Load()})
}

// tracked finds the tracked connection below TLS, or nil.
func tracked(conn net.Conn) *trackedConn {
	if layer, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = layer.NetConn()
	}
	found, _ := conn.(*trackedConn)
	return found
}

// neverSent reports whether no byte of the failed request was sent, and makes
// sure that none will be. It is called once, after RoundTrip returned an error.
func (t *sendTrace) neverSent() bool {
	if t.blind {
		return false
	}
	untouched := true
	for _, c := range t.conns {
		if !c.conn.seal(c.mark) {
			untouched = false
		}
	}
	return untouched
}

// sendFailure tells a request that was never sent from one that may have run.
func (t *sendTrace) sendFailure() error {
	if t.neverSent() {
		return ErrNotSent
	}
	return ErrBroken
}
