package connlimit

import (
	"context"
	"errors"
	"net"
	"os"
)

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
	if c.entry != nil && c.phase != body {
		if c.phase == idle {
			g.beginRequest(c)
		}
		g.enter(c, body)
	}
	if c.noRoom {
		g.counts.Refused++
	}
	return !c.noRoom
}

// BodyRead records that the request has arrived whole. It reports false if the connection was
// ended just before: then the client may not be served.
func (r Request) BodyRead() bool {
	c := r.conn
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.entry == nil {
		return false
	}
	c.guard.enter(c, answer)
	return true
}

// EvictBody closes the connection of the client that has taken longest to send its request's
// body, other than this one, so that its memory becomes free soon. It reports whether there was
// any.
func (r Request) EvictBody() bool {
	if r.conn == nil {
		return false
	}
	g := r.conn.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	for e := g.waiting[body].Front(); e != nil; e = e.Next() {
		if other := e.Value.(*conn); other != r.conn {
			g.endForRoom(other)
			return true
		}
	}
	return false
}

// TimedOut reports whether the error of reading a body is that the client took too long, or that
// its memory was needed.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
