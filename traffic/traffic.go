// Package traffic counts the bytes on a VM's link by kind of traffic, so that the counters
// show a full link and what fills it.
//
// The counts are of bytes that the process reads and writes on its connections. Packet
// headers and retransmissions are not included: a link is full somewhat before the counted
// bytes reach its rate.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Kind is a kind of traffic: whom the bytes are exchanged with.
type Kind int

// The kinds, in the order in which they are printed.
const (
	Callers Kind = iota
	Upstreams
	Peers
	Store
	Notices
	kinds
)

var kindNames = [kinds]string{"callers", "upstreams", "peers", "store", "notices"}

// String returns the name used in logs and counters.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds in the order in which they are printed.
func Kinds() []Kind { return []Kind{Callers, Upstreams, Peers, Store, Notices} }

// Meter counts bytes and connections of one VM. The zero value is ready to use; a nil Meter
// counts nothing.
type Meter struct {
	by        [kinds]counter
	callStats callStats
	answers   AnswerDelay
	// TableCalls counts calls to the table by call and segment.
	TableCalls Causes
	// link is whether the VM's link is full, once SetLink has told.
	link atomic.Pointer[Saturation]
}

// SetLink tells who decides whether the VM's link is full.
func (m *Meter) SetLink(s *Saturation) {
	if m != nil {
		m.link.Store(s)
	}
}

// Link returns who decides whether the VM's link is full, or nil.
func (m *Meter) Link() *Saturation {
	if m == nil {
		return nil
	}
	return m.link.Load()
}

// RecordAnswer records how long a short call took until its answer, or until it was given up.
func (m *Meter) RecordAnswer(took time.Duration) {
	if m != nil {
		m.answers.Record(time.Now(), took)
	}
}

// AnswerDelay returns the least time that recent short calls took.
func (m *Meter) AnswerDelay() time.Duration { return m.answers.Estimate(time.Now()) }

// counter holds the counts of one kind since the start.
type counter struct{ in, out, opened atomic.Int64 }

// Count holds the counts of one kind since the start of the process.
type Count struct {
	In, Out int64 // bytes to this VM and from it
	Opened  int64 // connections
}

// Minus returns the difference to an earlier count.
func (c Count) Minus(earlier Count) Count {
	return Count{c.In - earlier.In, c.Out - earlier.Out, c.Opened - earlier.Opened}
}

// Plus returns the sum of two counts.
func (c Count) Plus(other Count) Count {
	return Count{c.In + other.In, c.Out + other.Out, c.Opened + other.Opened}
}

// Snapshot holds the counts of each kind.
type Snapshot [kinds]Count

// CallCounts returns the calls to the table by call and segment.
func (m *Meter) CallCounts() map[string]int64 {
	if m == nil {
		return nil
	}
	return m.TableCalls.Counts()
}

// Read returns the current counts.
func (m *Meter) Read() Snapshot {
	var r Snapshot
	if m == nil {
		return r
	}
	for k := range m.by {
		r[k] = Count{m.by[k].in.Load(), m.by[k].out.Load(), m.by[k].opened.Load()}
	}
	return r
}

// Minus returns what was counted of each kind since an earlier snapshot.
func (r Snapshot) Minus(earlier Snapshot) Snapshot {
	for k := range r {
		r[k] = r[k].Minus(earlier[k])
	}
	return r
}

// Total returns the sum over all kinds.
func (r Snapshot) Total() Count {
	var sum Count
	for _, c := range r {
		sum = sum.Plus(c)
	}
	return sum
}

// Received counts bytes received without a connection.
func (m *Meter) Received(k Kind, bytes int) {
	if m != nil {
		m.by[k].in.Add(int64(bytes))
	}
}

// Sent counts bytes sent without a connection.
func (m *Meter) Sent(k Kind, bytes int) {
	if m != nil {
		m.by[k].out.Add(int64(bytes))
	}
}

// Conn returns the connection with its bytes counted.
func (m *Meter) Conn(k Kind, raw net.Conn) net.Conn {
	if m == nil {
		return raw
	}
	m.by[k].opened.Add(1)
	return &conn{Conn: raw, counter: &m.by[k]}
}

// Listener returns a listener that counts the bytes of all its connections.
func (m *Meter) Listener(k Kind, l net.Listener) net.Listener {
	return &listener{Listener: l, meter: m, kind: k}
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function that counts the bytes of all its connections.
func (m *Meter) Dial(k Kind, dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(k, raw), nil
	}
}

type listener struct {
	net.Listener
	meter *Meter
	kind  Kind
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(l.kind, raw), nil
}

type conn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.out.Add(int64(n))
	return n, err
}

// Unwrap returns the underlying connection, for methods of its own type.
func (c *conn) Unwrap() net.Conn { return c.Conn }

// Unwrapped returns the connection below all counting wrappers.
func Unwrapped(c net.Conn) net.Conn {
	for {
		counted, ok := c.(interface{ Unwrap() net.Conn })
		if !ok {
			return c
		}
		c = counted.Unwrap()
	}
}
