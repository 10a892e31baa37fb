package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/upstream"
)

// Guards against a failed exchange whose request still reaches its upstream whole, and runs
// there beside the second one.
func TestFailedExchangeIsResetAtTheUpstream(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nhi"
	for name, answer := range map[string]string{
		"an endless answer to another request": "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n",
		"answers to other requests":            foreign + foreign + foreign,
		"bytes that are no answer":             "?\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			r := ask("a")
			r.Body = make([]byte, 8<<20)
			r.Header.Set("Content-Length", fmt.Sprint(len(r.Body)))
			failed, result := make(chan struct{}), make(chan error, 1)
			go func() { result <- readAfterFailure(l, answer, failed) }()
			_, err = do(t, NewPool(nil), l.Addr().String(), r)
			close(failed)
			is.True(errors.Is(err, upstream.ErrBroken))
			is.True(errors.Is(<-result, syscall.ECONNRESET))
		})
	}
}

// readAfterFailure accepts a connection, answers at once, and reads the request after the
// exchange has failed. It returns the error at the end of the request; nil if it had an end.
func readAfterFailure(l net.Listener, answer string, failed <-chan struct{}) error {
	c, err := l.Accept()
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := io.WriteString(c, answer); err != nil {
		return err
	}
	<-failed
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, c)
	return err
}
