// Package httpconn defines which bytes of a server are an HTTP/1.1 response, and when a
// response is complete. All HTTP clients of upstreams and of the platform read through Conn;
// net/http parses what it lets through.
//
// A response begins with a head whose lines conform to RFC 9112. net/http is more lenient: it
// keeps field names with blanks and accepts status codes such as 000.
//
// A body with a length or chunks is complete when net/http has read that length, or the last
// chunk and the trailer. Any other body is complete when the server closes the connection in
// an orderly way (FIN); Conn distinguishes that from a reset and a timeout.
package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"k8s.io/klog/v2"

	"buckthornridge/traffic"
)

// Conn is a client's connection to an HTTP/1.1 server. One goroutine may read it while another
// one writes it.
type Conn struct {
	net.Conn

	writing  sync.Mutex // held during a Write; guards writeErr
	writeErr error      // the first error of a Write

	mu      sync.Mutex
	readErr error // the first error of a Read
	inHead  bool  // the next bytes must belong to a head
	head    headScanner
}

// New returns a connection over a raw one.
func New(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// ExpectResponse says that the next bytes must be the response to a request, beginning with
// those that were read already. It is called before the request is written. The error is
// ErrMalformed or ErrHeadTooLarge, as are those of Read then.
func (c *Conn) ExpectResponse(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.head = true, headScanner{}
	return c.scan(buffered)
}

// scan checks bytes that were read while a head is expected. The caller must hold c.mu.
func (c *Conn) scan(b []byte) error {
	if !c.inHead {
		return nil
	}
	err := c.head.scan(b)
	if err != nil {
		klog.Warningf("step=read_head peer=%s result=refused err=%q", c.RemoteAddr(), err.Error())
	}
	if c.head.done {
		c.inHead, c.head = false, headScanner{}
	}
	return err
}

// Unwrap returns the raw connection.
func (c *Conn) Unwrap() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. io.EOF means that the server has closed the connection in an
// orderly way. Later calls return the first error again: parsers may read on after it, and
// the socket reports its error only once.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endCause()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.scan(b[:n]); headErr != nil {
		n, err = 0, headErr
	}
	if err == io.EOF && c.inHead && c.head.begun() {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// endCause returns why a Read got EOF. A socket reports the error that ended it only once: if
// a Write gets it, a Read sees the same EOF as after an orderly close. If the server closed
// before the connection was reset, the Write gets EPIPE.
func (c *Conn) endCause() error {
	if !isDisconnected(c.Conn) {
		return io.EOF
	}
	// A Write in progress returns at once, since the socket is disconnected.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}

// isDisconnected reports whether a TCP connection has ended in both directions, as after a
// reset or a timeout.
func isDisconnected(c net.Conn) bool {
	tcp, ok := traffic.Unwrapped(c).(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := true
	err = raw.Control(func(fd uintptr) {
		_, err := syscall.Getpeername(int(fd))
		disconnected = err == syscall.ENOTCONN
	})
	return err != nil || disconnected
}
