package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/httpconn"
	"buckthornridge/traffic"
	"buckthornridge/upstream"
)

// Timing of connections to upstreams.
const (
	// dialTimeout bounds a dial. A handshake takes a few milliseconds, but up to a
	// second on links on which packets wait up to half a second each way: with a shorter
	// timeout no dial over such a link would succeed, and the VM would not reach the
	// store.
	dialTimeout = time.Second
	// userTimeout is how long sent bytes may stay unacknowledged. A partitioned link
	// causes no reset; without the timeout a connection would hang for minutes.
	// It also ends keep-alive, whatever the count of probes: a sound upstream that is silent
	// for a second must still answer the second probe.
	userTimeout = 2500 * time.Millisecond
	// keepAliveInterval is the time between two probes of an idle connection.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// defaultIdle applies where an upstream does not say how long it keeps an idle
	// connection.
	defaultIdle = 4 * time.Second
	maxIdle     = 30 * time.Second
	// idleShare is the part of the upstream's idle timeout during which a connection is
	// reused, since some upstreams close sooner; freshIdleShare is that for requests
	// that need a fresh connection.
	idleShare      = 0.6
	freshIdleShare = 0.25
	// DefaultConnections bounds the connections to one upstream without a configured
	// limit.
	DefaultConnections = 64
)

// Counters count events on connections, for operators.
type Counters struct {
	Opened, Reused, Refused, Closed, Mismatched atomic.Int64
	// Identified counts connections whose process was asked for.
	Identified atomic.Int64
}

// Pool keeps connections to upstreams by address.
type Pool struct {
	// Dial opens a connection; NewPool sets the default dialer.
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	counters Counters

	mu    sync.Mutex
	hosts map[string]*hostConns
	// maxConnections returns the largest number of connections to an address.
	maxConnections func(address string) int
}

// hostConns are the connections to one address.
type hostConns struct {
	idle []*conn // the most recently used one is the last
	open int     // number of connections, including idle ones
}

// conn is one connection to an upstream.
type conn struct {
	address        string
	raw            *httpconn.Conn
	reader         *bufio.Reader // from raw
	idleSince      time.Time
	idleTimeout    time.Duration // how long the upstream keeps it open
	desynchronized bool          // it carried a response to another request
	openedAt       time.Time
	process        int64 // of the upstream, by its own word; 0 if that is not known
	unidentified   bool  // it was asked for its process and did not tell
}

// NewPool returns an empty pool. maxConnections returns the largest number of
// connections to an address; nil stands for DefaultConnections.
func NewPool(maxConnections func(address string) int) *Pool {
	if maxConnections == nil {
		maxConnections = func(string) int { return DefaultConnections }
	}
	dialer := NewDialer()
	return &Pool{Dial: dialer.DialContext, hosts: map[string]*hostConns{}, maxConnections: maxConnections}
}

// Counters returns the pool's counters.
func (p *Pool) Counters() *Counters { return &p.counters }

// NewDialer returns a dialer whose connections detect an unresponsive peer within about
// three seconds.
func NewDialer() net.Dialer {
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			if inner := raw.Control(func(fd uintptr) { err = setUserTimeout(int(fd)) }); inner != nil {
				return inner
			}
			return err
		},
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

func setUserTimeout(fd int) error {
	return syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
}

// get returns a usable idle connection, or opens one.
func (p *Pool) get(ctx context.Context, address string, r *Request) (*conn, error) {
	for {
		c := p.pop(address, r.FreshConnection)
		if c == nil {
			break
		}
		if c.usable() {
			p.counters.Reused.Add(1)
			return c, nil
		}
		p.discard(c)
		if r.Closed != nil {
			r.Closed()
		}
	}
	if r.OpenOnly {
		return nil, upstream.WrapError("connect", address, upstream.ErrNotSent, errNoneOpen)
	}
	c, err := p.open(ctx, address, r.ConnectTimeout)
	if r.Dialed != nil && !errors.Is(err, upstream.ErrConnectionLimit) {
		r.Dialed(err)
	}
	return c, err
}

// errNoneOpen reports that no usable connection is open.
var errNoneOpen = eris.New("no open connection")

// Connect opens a connection and keeps it for later requests.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.open(ctx, address, 0)
	if err != nil {
		return err
	}
	p.put(c, defaultIdle)
	return nil
}

// pop takes the most recently used idle connection, if it was used recently enough.
func (p *Pool) pop(address string, fresh bool) *conn {
	share := idleShare
	if fresh {
		share = freshIdleShare
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	if time.Since(c.idleSince) > time.Duration(share*float64(c.idleTimeout)) {
		return nil
	}
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

// open opens a connection, within a timeout unless it is 0.
func (p *Pool) open(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	if !p.reserveConnection(address) {
		p.counters.Refused.Add(1)
		return nil, upstream.WrapError("connect", address, upstream.ErrNotSent, upstream.ErrConnectionLimit)
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	opening := time.Now()
	dialed, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		p.releaseConnection(address)
		return nil, upstream.WrapError("connect", address, upstream.ErrNotSent, err)
	}
	p.counters.Opened.Add(1)
	raw := httpconn.New(dialed)
	return &conn{address: address, raw: raw, reader: bufio.NewReaderSize(raw, bufferBytes), openedAt: opening}, nil
}

// reserveConnection counts a new connection. At the limit it closes an idle one, or
// fails if there is none.
func (p *Pool) reserveConnection(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	if h.open >= p.maxConnections(address) {
		if len(h.idle) == 0 {
			return false
		}
		h.idle[0].raw.Close()
		h.idle = h.idle[1:]
		h.open--
	}
	h.open++
	return true
}

func (p *Pool) releaseConnection(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.idleSince, c.idleTimeout = time.Now(), idleTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
}

func (p *Pool) discard(c *conn) {
	c.raw.Close()
	p.counters.Closed.Add(1)
	p.releaseConnection(c.address)
}

// abort closes the connection of an exchange that has not ended. What of the request is
// still in the buffer of the socket is dropped: after an ordinary close it would reach the
// upstream as soon as the link lets it through.
func (c *conn) abort() {
	if lingering, ok := traffic.Unwrapped(c.raw).(interface{ SetLinger(sec int) error }); ok {
		if err := lingering.SetLinger(0); err != nil {
			klog.V(1).Infof("step=abort peer=%s err=%q", c.address, err.Error())
		}
	}
	c.raw.Close()
}

// Sweep closes idle connections that are too old to be reused, so that they don't count
// towards an upstream's limit. It must be called periodically.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if time.Since(c.idleSince) > time.Duration(idleShare*float64(c.idleTimeout)) {
				c.raw.Close()
				h.open--
				continue
			}
			kept = append(kept, c)
		}
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

// DropIdle closes the idle connections to an address.
func (p *Pool) DropIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		return
	}
	for _, c := range h.idle {
		c.raw.Close()
		h.open--
	}
	h.idle = nil
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// usable reports whether an idle connection is open and has nothing to read: bytes that
// arrive between two requests belong to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := traffic.Unwrapped(c.raw).(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	peek := func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	}
	return raw.Read(peek) == nil && silent
}

// wantsClose reports whether a header says that the connection closes.
func wantsClose(h http.Header) bool {
	for _, value := range h.Values("Connection") {
		for _, token := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				return true
			}
		}
	}
	return false
}

// idleLimit returns how long the upstream says it keeps an idle connection.
func idleLimit(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			return min(time.Duration(seconds)*time.Second, maxIdle)
		}
	}
	return defaultIdle
}
