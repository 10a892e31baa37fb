package connlimit

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// lingerTimeout and lingerBytes bound how long, and how much of, what a refused client still
	// sends is read: closing a connection with unread bytes would reset it, and the client would
	// not receive the refusal.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// writePiece is the number of bytes after which a write counts as progress.
	writePiece = 64 << 10
	// retryAfter is when the client of a head without room should come back, in seconds.
	retryAfter = 1
)

// conn is one connection under a guard.
type conn struct {
	net.Conn
	guard *Guard

	// reading says that a head arrives or is awaited. Meanwhile the scanner, which measures it,
	// belongs to the reader of the connection.
	reading atomic.Bool
	scanner headScanner
	// writeBegan is when the write in progress last made progress, by the package's clock; 0
	// without one.
	writeBegan atomic.Int64

	// The rest is guarded by guard.mu.
	phase  phase
	since  time.Time     // in the phase
	entry  *list.Element // in guard.waiting; nil once the connection is forgotten
	cost   int64         // of Bounds.ConnectionBytes
	excess int64         // of Bounds.HeadBytes
	noRoom bool          // the request found no room
}

// Read implements net.Conn. It refuses heads over the limits.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || !c.reading.Load() {
		return n, err
	}
	c.scanner.scan(b[:n])
	c.reading.Store(!c.scanner.ended)
	switch problem := c.guard.observeHead(c); {
	case errors.Is(problem, errTooLarge):
		return 0, c.refuse(b, http.StatusRequestHeaderFieldsTooLarge, "")
	case errors.Is(problem, ErrNoRoom):
		return 0, c.refuse(b, http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\n", retryAfter))
	case problem != nil:
		return 0, problem
	}
	return n, err
}

var (
	errTooLarge = errors.New("connlimit: the head is over the limit")
	// errEnded reports a connection that was closed for its client's waiting. To net/http it
	// is a timeout, after which it does not answer.
	errEnded = os.ErrDeadlineExceeded
)

// observeHead records that bytes of a head have arrived.
func (g *Guard) observeHead(c *conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &c.scanner
	if c.entry == nil {
		return errEnded
	}
	if s.bytes > g.limits.Load().HeaderBytes {
		g.counts.TooLarge++
		return errTooLarge
	}
	if c.phase == idle {
		g.beginRequest(c)
		g.enter(c, head)
	}
	if err := g.chargeHead(c); err != nil {
		return err
	}
	if s.ended {
		g.enter(c, body)
	}
	return nil
}

// beginRequest charges a request. The caller holds g.mu.
func (g *Guard) beginRequest(c *conn) {
	g.charge(c, requestCost)
	for !g.hasRoom(0) && !c.noRoom {
		c.noRoom = !g.evict(c)
	}
}

// chargeHead charges a head by what has arrived of it. The caller holds g.mu.
func (g *Guard) chargeHead(c *conn) error {
	need := c.scanner.excess()
	if g.bounds.HeadBytes > 0 {
		need = min(need, g.bounds.HeadBytes)
	}
	if need <= c.excess {
		return nil
	}
	added := (need - c.excess + headStep - 1) / headStep * headStep
	if g.bounds.HeadBytes > 0 {
		added = min(added, g.bounds.HeadBytes-c.excess)
	}
	for g.bounds.HeadBytes > 0 && g.heads+added > g.bounds.HeadBytes {
		if !g.evictHead(c) {
			g.counts.Refused++
			return ErrNoRoom
		}
	}
	c.excess += added
	g.heads += added
	return nil
}

// evictHead closes the connection that has waited longest of those with an unfinished request
// and a large head, other than c. The caller holds g.mu.
func (g *Guard) evictHead(c *conn) bool {
	for _, p := range []phase{head, body} {
		for e := g.waiting[p].Front(); e != nil; e = e.Next() {
			other := e.Value.(*conn)
			if other == c || other.excess == 0 {
				continue
			}
			g.endForRoom(other)
			return true
		}
	}
	return false
}

// refuse answers a request whose head has not arrived whole. It reads into b what the client
// still sends, so that the client receives the answer.
func (c *conn) refuse(b []byte, status int, header string) error {
	text := http.StatusText(status)
	klog.V(1).Infof("step=read_head caller=%s outcome=%d bytes=%d lines=%d", c.RemoteAddr(), status, c.scanner.bytes, c.scanner.lines)
	_ = c.SetDeadline(time.Now().Add(lingerTimeout)) // an error means that the connection has ended
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s\n", status, text, header, len(text)+1, text); err != nil {
		return errEnded
	}
	_ = c.CloseWrite()
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(b)
		if err != nil {
			break
		}
		read += n
	}
	return errEnded
}

// Write implements net.Conn. It records the progress that the client's reading allows.
func (c *conn) Write(b []byte) (written int, err error) {
	defer c.writeBegan.Store(0)
	for {
		c.writeBegan.Store(now())
		piece := b[written:min(written+writePiece, len(b))]
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// stalledFor returns how long the client has taken no byte of an answer.
func (c *conn) stalledFor() time.Duration {
	began := c.writeBegan.Load()
	if began == 0 {
		return 0
	}
	return time.Duration(now() - began)
}

var processStart = time.Now()

// now returns the package's clock in nanoseconds. It does not follow steps of the time of day.
func now() int64 { return int64(time.Since(processStart)) + 1 }

// interrupt ends the connection. A handler that reads a body is told by its read, and can still
// answer; otherwise nobody uses the connection but to wait for the client.
func (c *conn) interrupt() {
	if c.phase != body || c.writeBegan.Load() != 0 {
		c.Conn.Close()
		return
	}
	// Errors mean that the connection has ended.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(StallTimeout))
}

// becomeIdle records that the answer was sent whole.
func (c *conn) becomeIdle() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c.scanner, c.noRoom = headScanner{}, false
	c.reading.Store(true)
	if c.entry == nil {
		return
	}
	g.releaseHead(c)
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

// CloseWrite ends the sending, which tells net/http's server that it can.
func (c *conn) CloseWrite() error {
	if tcp := unwrapped(c.Conn); tcp != nil {
		return tcp.CloseWrite()
	}
	return nil
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
