package connlimit

import (
	"container/list"
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// conn is one connection under a guard.
type conn struct {
	net.Conn
	guard *Guard

	// reading says that a head is awaited.
	reading atomic.Bool

	// The rest is guarded by guard.mu.
	phase  phase
	since  time.Time     // in the phase
	entry  *list.Element // in guard.waiting; nil once the connection is forgotten
	cost   int64         // of Bounds.ConnectionBytes
	noRoom bool          // the request found no room
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || !c.reading.Swap(false) {
		return n, err
	}
	if !c.guard.beginHead(c) {
		return 0, errEnded
	}
	return n, err
}

// errEnded reports a connection that was closed for its client's waiting. To net/http it is a
// timeout, after which it does not answer.
var errEnded = os.ErrDeadlineExceeded

// beginHead records that the first bytes of a request have arrived. It reports false if the
// connection was closed before.
func (g *Guard) beginHead(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry == nil {
		return false
	}
	g.beginRequest(c)
	g.enter(c, head)
	return true
}

// beginRequest charges a request. The caller holds g.mu.
func (g *Guard) beginRequest(c *conn) {
	g.charge(c, requestCost)
	for !g.hasRoom(0) && !c.noRoom {
		c.noRoom = !g.evict(c)
	}
}

// becomeIdle records that the answer was sent whole.
func (c *conn) becomeIdle() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.noRoom = false
	c.reading.Store(true)
	if c.entry == nil {
		return
	}
	g.charge(c, connectionCost-c.cost)
	g.enter(c, idle)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.forget(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// Unwrap returns the underlying connection.
func (c *conn) Unwrap() net.Conn { return c.Conn }

// Request is the connection of a request, for its handler.
type Request struct{ conn *conn }

type requestKey struct{}

// WithConn keeps a connection in the context of its requests. It can be the ConnContext of a
// server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	guarded, ok := c.(*conn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, requestKey{}, Request{guarded})
}

// RequestOf returns the connection of a request. Without a guard it does nothing.
func RequestOf(ctx context.Context) Request {
	r, _ := ctx.Value(requestKey{}).(Request)
	return r
}

// Begin records that the head has arrived, which the guard cannot see of requests that were sent
// before the answer to the one before them. It reports whether there is room for the request.
func (r Request) Begin() bool {
	c := r.conn
	if c == nil {
		return true
	}
	c.reading.Store(false)
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry != nil && c.phase != answer {
		if c.phase == idle {
			g.beginRequest(c)
		}
		g.enter(c, answer)
	}
	if c.noRoom {
		g.counts.Refused++
	}
	return !c.noRoom
}
