package connlimit

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

const (
	// lingerTimeout and lingerBytes bound how long, and how much of, what a refused client still
	// sends is read: closing a connection with unread bytes would reset it, and the client would
	// not receive the refusal.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// retryAfter is when the client of a head without room should come back, in seconds.
	retryAfter = 1
)

// Errors of a head that arrives.
var (
	errTooLarge = eris.New("connlimit: the head is over the limit")
	// errNoRoom reports a head for which the process has no memory left.
	errNoRoom = eris.New("connlimit: no memory for the head")
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
			return errNoRoom
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
