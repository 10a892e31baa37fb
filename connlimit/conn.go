package connlimit

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"buckthornridge/traffic"
)

// writePiece is the number of bytes after which a write counts as progress.
const writePiece = 64 << 10

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
	case errors.Is(problem, errNoRoom):
		return 0, c.refuse(b, http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\n", retryAfter))
	case problem != nil:
		return 0, problem
	}
	return n, err
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

// CloseWrite ends the sending. net/http's server does so before it closes a connection of which
// it has not read all.
func (c *conn) CloseWrite() error {
	if tcp, ok := traffic.Unwrapped(c.Conn).(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Unwrap returns the underlying connection.
func (c *conn) Unwrap() net.Conn { return c.Conn }
