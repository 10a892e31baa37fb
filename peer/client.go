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
	// a paused or partitioned VM: its socket stays open, and callers would wait
	// until their deadlines.
	silenceLimit = 2 * time.Second
)

// Client calls other processes of the system. It is safe for concurrent use.
type Client struct {
	// TLS, if set, secures connections; its client certificate names this process.
	TLS *tls.Config
	// DialContext, if set, replaces the dialler, for tests and fault injection.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[string]*clientConn
	dials  map[string]*dialing
	closed bool
	wg     sync.WaitGroup
}

var _ Caller = (*Client)(nil)

// dialing is one connection attempt, which several calls may wait for.
type dialing struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// NewClient returns a client without connections.
func NewClient(tlsConfig *tls.Config) *Client {
	return &Client{TLS: tlsConfig, conns: map[string]*clientConn{}, dials: map[string]*dialing{}}
}

// Close closes all connections and waits for their goroutines.
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
	if conn := c.conns[address]; conn != nil && conn.isOpen() {
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

// startCall connects and sends the request frame of a new call.
func (c *Client) startCall(ctx context.Context, address, method string, request any, kind frameKind) (*clientConn, *clientCall, error) {
	body, err := encodeBody(request)
	if err != nil {
		return nil, nil, err
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, nil, eris.Wrapf(ErrUnreachable, "%s: peer %s: %v", method, address, err)
	}
	call := conn.register(kind)
	f := &frame{Kind: kind, Call: call.id, Method: method, Body: body, TimeoutMS: remainingMS(ctx)}
	if len(body) > MaxFrame/2 && len(body)+len(method) > MaxFrame-64 {
		conn.removeCall(call)
		return nil, nil, eris.Wrapf(ErrFrameTooLarge, "%s: %d bytes", method, len(body))
	}
	if err := conn.link.send(f); err != nil {
		conn.removeCall(call)
		return nil, nil, eris.Wrapf(ErrUnreachable, "%s: peer %s: %v", method, address, err)
	}
	return conn, call, nil
}

// remainingMS returns the milliseconds to the context's deadline, at least 1, or 0
// without one.
func remainingMS(ctx context.Context) int64 {
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
	return stream.waitReply(reply)
}

// Open implements Caller.
func (c *Client) Open(ctx context.Context, address, method string, request any) (Stream, error) {
	return c.open(ctx, address, method, request)
}

func (c *Client) open(ctx context.Context, address, method string, request any) (*clientStream, error) {
	conn, call, err := c.startCall(ctx, address, method, request, frameRequest)
	if err != nil {
		return nil, err
	}
	return &clientStream{ctx: ctx, conn: conn, call: call, method: method}, nil
}

// Push implements Caller.
func (c *Client) Push(ctx context.Context, address, method string, message any) error {
	_, _, err := c.startCall(ctx, address, method, message, framePush)
	return err
}

// clientConn is the caller's side of one connection.
type clientConn struct {
	address      string
	link         *link
	lastReceived atomic.Int64 // when the last frame was received, Unix nanoseconds
	lastCall     atomic.Uint64

	mu    sync.Mutex
	calls map[uint64]*clientCall
}

// clientCall receives the frames of one call.
type clientCall struct {
	id     uint64
	frames chan *frame // capacity for the whole window and the final frame
}

func newClientConn(address string, raw net.Conn) *clientConn {
	conn := &clientConn{address: address, link: newLink(raw), calls: map[uint64]*clientCall{}}
	conn.lastReceived.Store(time.Now().UnixNano())
	return conn
}

func (c *clientConn) isOpen() bool {
	select {
	case <-c.link.done:
		return false
	default:
		return true
	}
}

func (c *clientConn) register(kind frameKind) *clientCall {
	call := &clientCall{id: c.lastCall.Add(1)}
	if kind == framePush {
		return call
	}
	call.frames = make(chan *frame, Window+1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		// silenceLimit counts from the start of the first call in progress.
		c.lastReceived.Store(time.Now().UnixNano())
	}
	c.calls[call.id] = call
	return call
}

func (c *clientConn) removeCall(call *clientCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, call.id)
}

func (c *clientConn) hasCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) > 0
}

func (c *clientConn) readLoop() {
	r := bufio.NewReaderSize(c.link.conn, bufferBytes)
	for {
		f, err := readFrame(r)
		if err == nil {
			c.lastReceived.Store(time.Now().UnixNano())
			err = c.deliver(f)
		}
		if err != nil {
			c.link.fail(err)
			return
		}
	}
}

// deliver passes a frame to its call. A frame of a cancelled call is dropped. It
// can't reach another call, since call numbers are never reused.
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
		return eris.Wrapf(ErrMalformed, "peer %s sent more messages than the window allows", c.address)
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
	if !c.hasCalls() {
		return
	}
	silent := time.Since(time.Unix(0, c.lastReceived.Load()))
	if silent > silenceLimit {
		c.link.fail(eris.Errorf("received nothing for %s", silent.Round(time.Millisecond)))
		return
	}
	// Never block: a full queue towards a silent peer must not keep this loop from
	// detecting the silence.
	encoded, err := encodeFrame(&frame{Kind: framePing})
	if err != nil {
		return
	}
	select {
	case c.link.sendQueue <- encoded:
	default:
	}
}
