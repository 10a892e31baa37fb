package upstream_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/upstream"
)

// earlyUpload is more than the sockets between a client and a server hold.
const earlyUpload = 6 << 20

// serveEarly answers each request before its body was read, and then ends the connection.
func serveEarly(t *testing.T, response string, end func(c *net.TCPConn)) *upstream.HTTPService {
	return newServiceClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		fmt.Fprint(c, response)
		end(c.(*net.TCPConn))
		c.Close()
	}))
}

// Guards against an early response without a length that ends with a reset and counts as
// whole, since the write in progress takes the error of the socket.
func TestEarlyResponseThatIsReset(t *testing.T) {
	is := is.New(t)
	client := serveEarly(t, "HTTP/1.1 200 OK\r\n\r\nsold", func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond) // the bytes are read before the reset
		_ = c.SetLinger(0)
	})
	for range 8 {
		_, err := client.Do(t.Context(), upstream.Call{Method: "POST", Path: "/x", Body: make([]byte, earlyUpload)})
		is.True(errors.Is(err, upstream.ErrBroken))
	}
}

// Guards against an early response that is lost though its server closed in the ordinary way.
func TestEarlyResponseThatIsWhole(t *testing.T) {
	for _, response := range []string{"HTTP/1.1 200 OK\r\n\r\nsold", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsold"} {
		is := is.New(t)
		client := serveEarly(t, response, func(c *net.TCPConn) {
			is.NoErr(c.CloseWrite())
			time.Sleep(100 * time.Millisecond)
		})
		reply, err := client.Do(t.Context(), upstream.Call{Method: "POST", Path: "/x", Body: make([]byte, earlyUpload)})
		is.NoErr(err)
		is.Equal(string(reply.Body), "sold")
	}
}
