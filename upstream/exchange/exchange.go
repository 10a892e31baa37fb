// Package exchange sends HTTP/1.1 requests to upstreams over its own pool of
// connections.
//
// It is used instead of net/http's transport, which may itself repeat a request if a
// pooled connection turns out to be closed: an at-most-once request would run twice, and
// the second send would not be counted. Here the caller makes every send. An error tells
// whether any byte can have been sent: upstream.ErrNotSent or upstream.ErrBroken.
package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/upstream"
)

// Sizes of buffers, and limits on skipped responses.
const (
	bufferBytes = 4 << 10
	headBytes   = 1 << 10
	// inlineBytes is the largest request that is written before its response is read. A
	// larger one is written concurrently, since an upstream may respond early and read
	// the rest much later.
	inlineBytes = 16 << 10
	// maxMismatched is how many responses to earlier requests are skipped on one
	// connection before the request fails.
	maxMismatched = 2
	// maxMismatchedBytes bounds the body of such a response.
	maxMismatchedBytes = 1 << 20
)

// Request is one request to one upstream.
type Request struct {
	Method string
	Target string // path and query as on the request line
	Host   string
	Header http.Header
	Body   []byte
	// FreshConnection asks for a connection that is new or was used recently: a request
	// that can't be retried is lost if an idle connection was closed.
	FreshConnection bool
	// OpenOnly allows only connections that are already open.
	OpenOnly bool
	// ConnectTimeout bounds the opening of a connection further than the dialler does; 0
	// does not.
	ConnectTimeout time.Duration
	// Dialed, if set, is called with the result of opening a connection.
	Dialed func(err error)
	// Identify, if set, returns the question which process has the connection, or nil for
	// none. It is called before the request is sent; a connection is asked once.
	Identify func() *Identification
	// Prepare, if set, completes the header right before the request is written. After an
	// error nothing of it is sent.
	Prepare func(http.Header) error
	// Closed, if set, is called when an idle connection turns out to be closed before the
	// upstream's idle timeout.
	Closed func()
	// ProcessEnded, if set, reports whether the upstream's process has ended. It is called
	// after a body that ended with its connection: if the process ended too, the body may
	// be incomplete.
	ProcessEnded func() bool
	// ResponseMatches reports whether a response with this header belongs to the
	// request. An upstream that is out of sync may send the response to an earlier one
	// first.
	ResponseMatches func(http.Header) bool
}

// Response is the head of a response and its body.
type Response struct {
	Status int
	Header http.Header
	// Framed says that the body has a length or is chunked. A body that ends with its
	// connection may be incomplete.
	Framed bool
	// Process is the upstream's process that has the connection; 0 if it was not asked, or
	// was and did not tell (Unidentified).
	Process      int64
	Unidentified bool

	closing   bool // the connection closes after this response
	body      io.ReadCloser
	pool      *Pool
	conn      *conn
	stop      func() bool // detaches the connection from the context
	written   chan error  // result of writing the request; nil if it was written before
	ended     func() bool // Request.ProcessEnded
	readToEnd bool        // the body was read to its end
	closed    atomic.Bool
}

// Do sends a request and reads the head of its response. The context bounds the whole
// exchange, including the reading of the body. The response must be closed.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.get(ctx, address, r)
	if err != nil {
		return nil, err
	}
	if c, err = p.identify(ctx, c, r); err != nil {
		return nil, err
	}
	if err := prepare(ctx, r); err != nil {
		p.put(c, defaultIdle)
		return nil, upstream.WrapError("prepare", address, upstream.ErrNotSent, err)
	}
	response, err := p.exchange(ctx, c, r)
	if err != nil {
		c.abort()
		p.discard(c)
		return nil, err
	}
	response.Process, response.Unidentified = c.process, c.unidentified
	return response, nil
}

// prepare makes the last decision before a request is written.
func prepare(ctx context.Context, r *Request) error {
	if ctx.Err() != nil {
		return errors.Join(upstream.ErrAbandoned, context.Cause(ctx))
	}
	if r.Prepare == nil {
		return nil
	}
	return r.Prepare(r.Header)
}

func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) (*Response, error) {
	stop := context.AfterFunc(ctx, c.abort)
	written, err := send(c, r)
	if err == nil {
		var response *Response
		response, err = p.readResponse(c, r)
		if err == nil {
			response.pool, response.conn, response.stop, response.written = p, c, stop, written
			response.ended = r.ProcessEnded
			return response, nil
		}
	}
	stop()
	if ctx.Err() != nil {
		err = errors.Join(context.Cause(ctx), err)
	}
	return nil, upstream.WrapError("exchange", c.address, upstream.ErrBroken, err)
}

// send writes the request. It returns a channel if the body is still being written.
func send(c *conn, r *Request) (chan error, error) {
	if err := c.expectResponse(); err != nil {
		return nil, err
	}
	head := encodeHead(r)
	if len(head)+len(r.Body) <= inlineBytes {
		_, err := c.raw.Write(append(head, r.Body...))
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.raw)
		written <- err
	}()
	return written, nil
}

// encodeHead returns the request line and the header fields.
func encodeHead(r *Request) []byte {
	b := make([]byte, 0, headBytes)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	return append(b, "\r\n"...)
}

func newResponse(raw *http.Response) *Response {
	return &Response{
		Status:  raw.StatusCode,
		Header:  raw.Header,
		Framed:  raw.ContentLength >= 0 || len(raw.TransferEncoding) > 0,
		closing: raw.Close || wantsClose(raw.Header),
		body:    raw.Body,
	}
}

// readResponse reads responses until one belongs to the request.
func (p *Pool) readResponse(c *conn, r *Request) (*Response, error) {
	mismatched := 0
	for {
		raw, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if r.ResponseMatches(raw.Header) {
			return newResponse(raw), nil
		}
		c.desynchronized = true
		p.counters.Mismatched.Add(1)
		mismatched++
		if mismatched > maxMismatched || raw.ContentLength < 0 || raw.ContentLength > maxMismatchedBytes {
			return nil, eris.New("response to another request")
		}
		if _, err := io.Copy(io.Discard, raw.Body); err != nil {
			return nil, err
		}
		if err := c.expectResponse(); err != nil {
			return nil, err
		}
	}
}

// Read reads the body. io.EOF means that the body is complete: by its framing, or because
// its connection was closed by a process that still runs.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		if !r.readToEnd && !r.Framed && r.ended != nil && r.ended() {
			return n, upstream.WrapError("read response", r.conn.address, upstream.ErrBroken, errEndedWithConnection)
		}
		r.readToEnd = true
		return n, io.EOF
	}
	if err != nil {
		return n, upstream.WrapError("read response", r.conn.address, upstream.ErrBroken, err)
	}
	return n, nil
}

// errEndedWithConnection reports a body without a length whose upstream has ended.
var errEndedWithConnection = eris.New("the upstream's process ended with its connection")

// Close ends the exchange. The connection goes back to the pool if the response was read
// to its end and the connection is reusable.
func (r *Response) Close() {
	if !r.closed.CompareAndSwap(false, true) {
		return
	}
	connOpen := r.stop()
	if r.readToEnd && connOpen && r.requestWritten() && r.reusable() {
		r.pool.put(r.conn, idleLimit(r.Header))
		return
	}
	if !r.readToEnd {
		r.conn.abort()
	}
	r.pool.discard(r.conn)
}

// requestWritten reports whether the whole request was written. An upstream that
// responded early and has not read all of it would take the next request for the rest of
// the body.
func (r *Response) requestWritten() bool {
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

func (r *Response) reusable() bool {
	return !r.closing && !r.conn.desynchronized && r.conn.reader.Buffered() == 0
}
