package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Timing of the client's side of a connection.
const (
	dialTimeout  = time.Second
	pingInterval = 500 * time.Millisecond
	// silenceLimit is how long a peer with calls in progress may send nothing,
	// not even a pong, before its calls fail with ErrBroken. It guards against
	// a paused or cut-off VM: its socket stays open, and callers would wait for
	// the whole of their deadline.
	silenceLimit = 2 * time.Second
)

// Client calls the system's other processes. It is safe for concurrent use.
type Client struct {
	// TLS, if set, secures connections; its client certificate names this process.
	TLS *tls.Config
	// DialContext replaces the dialler, for tests and fault injection.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[string]*clientConn
	dials  map[string]*dialing
	closed bool
	wg     sync.WaitGroup
}

var _ Caller = (*Client)(nil)

// dialing is one attempt to connect that several calls wait for.
type dialing struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// NewClient returns a client without connections.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{TLS: tlsConfig, conns: map[string]*clientConn{}, dials: map[string]*dialing{}}
}

// Close ends all connections and waits for their goroutines.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		conn.link.fail(errClosed)
	}
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// connect returns the live connection to an address, dialling if there is none.
func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	if conn := c.conns[address]; conn != nil && conn.alive() {
		c.mu.Unlock()
		return conn, nil
	}
	attempt := c.dials[address]
	if attempt == nil {
		attempt = &dialing{done: make(chan struct{})}
		c.dials[address] = attempt
		c.wg.Add(1)
		go c.dial(address, attempt)
	}
	c.mu.Unlock()
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) dial(address string, attempt *dialing) {
	defer c.wg.Done()
	defer close(attempt.done)
	raw, err := c.dialRaw(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.dials, address)
	if err == nil && c.closed {
		raw.Close()
		err = errClosed
	}
	if err != nil {
		attempt.err = err
		return
	}
	attempt.conn = newClientConn(address, raw)
	c.conns[address] = attempt.conn
	c.wg.Add(3)
	for _, loop := range []func(){attempt.conn.link.writeLoop, attempt.conn.readLoop, attempt.conn.pingLoop} {
		go func() {
			defer c.wg.Done()
			loop()
		}()
	}
}

func (c *Client) dialRaw(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	dial := c.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	raw, err := dial(ctx, "tcp", address)
	if err != nil || c.TLS == nil {
		return raw, err
	}
	secured := tls.Client(raw, c.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return secured, nil
}

// begin connects and sends the request frame of a new call.
func (c *Client) begin(ctx context.Context, address, method string, request any, kind frameKind) (*clientConn, *clientCall, error) {
	body, err := encodeBody(request)
	if err != nil {
		return nil, nil, err
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, nil, eris.Wrapf(ErrUnreachable, "%s: peer %s: %v", method, address, err)
	}
	call := conn.register(kind)
	f := &frame{Kind: kind, Call: call.id, Method: method, Body: body, TimeoutMS: timeLeft(ctx)}
	if len(body) > MaxFrame/2 && len(body)+len(method) > MaxFrame-64 {
		conn.forget(call)
		return nil, nil, eris.Wrapf(ErrFrameTooLarge, "%s: %d bytes", method, len(body))
	}
	if err := conn.link.send(f); err != nil {
		conn.forget(call)
		return nil, nil, eris.Wrapf(ErrUnreachable, "%s: peer %s: %v", method, address, err)
	}
	return conn, call, nil
}

// timeLeft returns the milliseconds to the context's deadline, at least 1, or 0
// without one.
func timeLeft(ctx context.Context) int64 {
	deadline, has := ctx.Deadline()
	if !has {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, address, method string, request, reply any) error {
	stream, err := c.open(ctx, address, method, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	return stream.finish(reply)
}

// Open implements Caller.
func (c *Client) Open(ctx context.Context, address, method string, request any) (Stream, error) {
	return c.open(ctx, address, method, request)
}

func (c *Client) open(ctx context.Context, address, method string, request any) (*clientStream, error) {
	conn, call, err := c.begin(ctx, address, method, request, frameRequest)
	if err != nil {
		return nil, err
	}
	return &clientStream{ctx: ctx, conn: conn, call: call, method: method}, nil
}

// Push implements Caller.
func (c *Client) Push(ctx context.Context, address, method string, message any) error {
	_, _, err := c.begin(ctx, address, method, message, framePush)
	return err
}

// clientConn is the caller's side of one connection.
type clientConn struct {
	address string
	link    *link
	heard   atomic.Int64 // when the last frame arrived, Unix nanoseconds
	next    atomic.Uint64

	mu    sync.Mutex
	calls map[uint64]*clientCall
}

// clientCall receives the frames of one call.
type clientCall struct {
	id     uint64
	frames chan *frame // room for the whole window and the final frame
}

func newClientConn(address string, raw net.Conn) *clientConn {
	conn := &clientConn{address: address, link: newLink(raw), calls: map[uint64]*clientCall{}}
	conn.heard.Store(time.Now().UnixNano())
	return conn
}

func (c *clientConn) alive() bool {
	select {
	case <-c.link.done:
		return false
	default:
		return true
	}
}

func (c *clientConn) register(kind frameKind) *clientCall {
	call := &clientCall{id: c.next.Add(1)}
	if kind == framePush {
		return call
	}
	call.frames = make(chan *frame, Window+1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		// The silence limit counts from the first call in progress.
		c.heard.Store(time.Now().UnixNano())
	}
	c.calls[call.id] = call
	return call
}

func (c *clientConn) forget(call *clientCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, call.id)
}

func (c *clientConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) > 0
}

func (c *clientConn) readLoop() {
	r := bufio.NewReaderSize(c.link.conn, bufferBytes)
	for {
		f, err := readFrame(r)
		if err == nil {
			c.heard.Store(time.Now().UnixNano())
			err = c.deliver(f)
		}
		if err != nil {
			c.link.fail(err)
			return
		}
	}
}

// deliver hands a frame to its call. A frame for a call that was given up is
// dropped: it can reach no one else, since call numbers are never reused.
func (c *clientConn) deliver(f *frame) error {
	if f.Kind == framePong {
		return nil
	}
	c.mu.Lock()
	call := c.calls[f.Call]
	c.mu.Unlock()
	if call == nil {
		return nil
	}
	select {
	case call.frames <- f:
		return nil
	default:
		return eris.Wrapf(ErrMalformed, "peer %s sent past the window", c.address)
	}
}

func (c *clientConn) pingLoop() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.link.done:
			return
		case <-ticker.C:
			c.pingOnce()
		}
	}
}

func (c *clientConn) pingOnce() {
	if !c.busy() {
		return
	}
	silent := time.Since(time.Unix(0, c.heard.Load()))
	if silent > silenceLimit {
		c.link.fail(eris.Errorf("silent for %s", silent.Round(time.Millisecond)))
		return
	}
	// Never wait for room: a full queue towards a silent peer must not keep this
	// loop from noticing the silence.
	encoded, err := encodeFrame(&frame{Kind: framePing})
	if err != nil {
		return
	}
	select {
	case c.link.out <- encoded:
	default:
	}
}
