// Package connlimit bounds what the connections of HTTP clients cost a process: descriptors,
// memory and time.
//
// Per-connection limits do not bound a process: it may have thousands of connections, each
// within its limits. A Guard therefore charges each connection by what it does, and requests by
// the lines and bytes of their heads, to bounds of the process. Without room it closes the
// connections of clients that keep the process waiting: idle ones first, then unfinished heads,
// unfinished bodies and answers that are not read, those that have waited longest first.
// Requests whose bodies have arrived are never ended for another one.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Costs in bytes that connections are charged with.
const (
	// connectionCost is that of an idle connection: a goroutine and two buffers.
	connectionCost = 20 << 10
	// requestCost is that of a request with an ordinary head, beyond its connection's.
	requestCost = 24 << 10
	// lineCost is that of a header line beyond its bytes: an entry in the map of headers, and
	// in the copies of it that are sent to upstreams. byteCost is that of each byte: it is
	// read, parsed, sent and logged.
	lineCost = 256
	byteCost = 4
	// ordinaryLines and ordinaryBytes are what a head may have within requestCost.
	ordinaryLines = 32
	ordinaryBytes = 4 << 10
	// headStep is the amount by which a head's charge grows while it arrives.
	headStep = 8 << 10
)

// Timeouts that the configuration does not set.
const (
	// BodyTimeout is how long a request's body may take to arrive.
	BodyTimeout = 60 * time.Second
	// StallTimeout is how long a client may take no byte of its answer.
	StallTimeout = 15 * time.Second
	// stalledWrite is how long a client has taken no byte of its answer before its connection is
	// closed for want of room.
	stalledWrite = time.Second
)

// Bounds are those of a process. Zero means that there is no bound.
type Bounds struct {
	// Connections is the largest number of connections.
	Connections int
	// ConnectionBytes is what connections and requests with ordinary heads may be charged
	// together, HeadBytes what larger heads may be charged beyond that.
	ConnectionBytes, HeadBytes int64
}

// Limits are those of one connection, which the operators may change at any time.
type Limits struct {
	// HeaderBytes is the size of the largest head, with its request line.
	HeaderBytes int
	// HeaderTimeout is how long a head may take to arrive, IdleTimeout how long a connection
	// may stay open without a request.
	HeaderTimeout, IdleTimeout time.Duration
}

// DefaultLimits apply until the operators' limits are known, and in place of those that they do
// not set.
var DefaultLimits = Limits{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second}

// phase is what a connection waits for.
type phase int

const (
	idle   phase = iota // for the first byte of a request
	head                // for the rest of a request's head
	body                // for the rest of a request's body
	answer              // for the end of the answer
	phases
)

// Phases are the names of what connections wait for, for counters.
var Phases = [phases]string{"idle", "head", "body", "answer"}

// Guard bounds the connections of one or more listeners. It is safe for concurrent use.
type Guard struct {
	bounds Bounds
	limits atomic.Pointer[Limits]

	mu      sync.Mutex
	waiting [phases]list.List // connections, those that entered the phase first in front
	open    int
	charged int64 // of Bounds.ConnectionBytes
	heads   int64 // of Bounds.HeadBytes
	counts  Counts
}

// Counts are those of a guard since its start.
type Counts struct {
	// Open is the number of connections, ConnectionBytes and HeadBytes what they are charged.
	Open                       int
	ConnectionBytes, HeadBytes int64
	// Evicted is how many connections were closed to make room, by what they waited for; Phases
	// names it.
	Evicted [phases]int64
	// Refused is how many connections, heads and requests found no room, TooLarge how many heads were
	// over the limit, and TimedOut how many connections were closed at a timeout other than the
	// idle one.
	Refused, TooLarge, TimedOut int64
}

// NewGuard returns a guard without connections.
func NewGuard(b Bounds) *Guard {
	g := &Guard{bounds: b}
	g.SetLimits(Limits{})
	return g
}

// SetLimits sets the limits of each connection. Zeros stand for DefaultLimits.
func (g *Guard) SetLimits(l Limits) {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultLimits.HeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	g.limits.Store(&l)
}

// Counts returns the counts.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	c.Open, c.ConnectionBytes, c.HeadBytes = g.open, g.charged, g.heads
	return c
}

// Attach has a server tell the guard when its connections become idle. It must be called before
// the server serves.
func (g *Guard) Attach(s *http.Server) {
	before := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*conn); ok && state == http.StateIdle {
			guarded.becomeIdle()
		}
		if before != nil {
			before(c, state)
		}
	}
}

// Listener returns a listener whose connections the guard bounds.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
		raw.Close()
	}
}

// admit returns the connection under the guard, or nil if there is no room for it.
func (g *Guard) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, guard: g}
	c.reading.Store(true)
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.hasRoom(connectionCost) || g.bounds.Connections > 0 && g.open >= g.bounds.Connections {
		if !g.evict(nil) {
			g.counts.Refused++
			return nil
		}
	}
	g.open++
	g.charge(c, connectionCost)
	g.enter(c, idle)
	return c
}

// hasRoom reports whether connections may be charged so much more. The caller holds g.mu.
func (g *Guard) hasRoom(cost int64) bool {
	return g.bounds.ConnectionBytes == 0 || g.charged+cost <= g.bounds.ConnectionBytes
}

// charge changes what a connection is charged. The caller holds g.mu.
func (g *Guard) charge(c *conn, cost int64) {
	c.cost += cost
	g.charged += cost
}

// enter moves a connection to a phase. The caller holds g.mu.
func (g *Guard) enter(c *conn, p phase) {
	if c.entry != nil {
		g.waiting[c.phase].Remove(c.entry)
	}
	c.phase, c.since = p, time.Now()
	c.entry = g.waiting[p].PushBack(c)
}

// forget ends the bookkeeping of a connection. The caller holds g.mu.
func (g *Guard) forget(c *conn) {
	if c.entry == nil {
		return
	}
	g.waiting[c.phase].Remove(c.entry)
	c.entry = nil
	g.open--
	g.charge(c, -c.cost)
	g.releaseHead(c)
}

func (g *Guard) releaseHead(c *conn) {
	g.heads -= c.excess
	c.excess = 0
}

// evict closes the connection that has waited longest of those in the first phase that has any,
// other than c. It reports whether there was any. The caller holds g.mu.
func (g *Guard) evict(c *conn) bool {
	for p := range phases {
		for e := g.waiting[p].Front(); e != nil; e = e.Next() {
			other := e.Value.(*conn)
			if other == c || p == answer && other.stalledFor() < stalledWrite {
				continue
			}
			g.endForRoom(other)
			return true
		}
	}
	return false
}

// endForRoom closes a connection to make room, and counts that. The caller holds g.mu.
func (g *Guard) endForRoom(c *conn) {
	g.counts.Evicted[c.phase]++
	g.end(c)
}

// end closes a connection whose client keeps the process waiting. The caller holds g.mu.
func (g *Guard) end(c *conn) {
	g.forget(c)
	c.interrupt()
}

// Sweep closes the connections whose clients have exceeded a timeout. It must be called
// periodically.
func (g *Guard) Sweep() {
	limits := g.limits.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endOlder(idle, limits.IdleTimeout)
	g.counts.TimedOut += g.endOlder(head, limits.HeaderTimeout) + g.endOlder(body, BodyTimeout)
	for e := g.waiting[answer].Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if c.stalledFor() > StallTimeout {
			g.end(c)
			g.counts.TimedOut++
		}
	}
}

// endOlder closes the connections that have been in a phase for longer than a limit, and returns
// how many. The caller holds g.mu.
func (g *Guard) endOlder(p phase, limit time.Duration) (ended int64) {
	for e := g.waiting[p].Front(); e != nil; e = g.waiting[p].Front() {
		c := e.Value.(*conn)
		if time.Since(c.since) <= limit {
			break
		}
		g.end(c)
		ended++
	}
	return ended
}
