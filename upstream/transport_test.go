package upstream

import (
	"net"
	"net/http/httptrace"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// recordingConn counts the writes that reach it.
type recordingConn struct {
	net.Conn
	writes int
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.writes++
	return len(p), nil
}

func (c *recordingConn) Close() error { return nil }

// A request fails because its context ends, while the transport's writer has it
// in hand. The caller is told "not sent" and sends it elsewhere; a moment later
// the writer writes, and the first upstream runs it as well.
func TestNothingIsWrittenAfterNotSent(t *testing.T) {
	is := is.New(t)
	wire := &recordingConn{}
	conn := &trackedConn{Conn: wire}
	var trace sendTrace
	trace.gotConn(httptrace.GotConnInfo{Conn: conn})
	is.True(trace.neverSent())
	_, err := conn.Write([]byte("POST"))
	is.Equal(err, errSealed)
	is.Equal(wire.writes, 0)
}

// The earlier requests of a reused connection do not count, its own do.
func TestNeverSentCountsFromTheRequestsOwnStart(t *testing.T) {
	is := is.New(t)
	conn := &trackedConn{Conn: &recordingConn{}}
	_, _ = conn.Write([]byte("an earlier request"))
	var second sendTrace
	second.gotConn(httptrace.GotConnInfo{Conn: conn})
	_, _ = conn.Write([]byte("P"))
	is.True(!second.neverSent())
	_, err := conn.Write([]byte("OST"))
	is.NoErr(err) // a connection in use is left alone
}

// The transport tried two connections; bytes went out on the first one only.
func TestNeverSentLooksAtEveryConnection(t *testing.T) {
	is := is.New(t)
	used := &trackedConn{Conn: &recordingConn{}}
	fresh := &trackedConn{Conn: &recordingConn{}}
	var trace sendTrace
	trace.gotConn(httptrace.GotConnInfo{Conn: used})
	_, _ = used.Write([]byte("P"))
	trace.gotConn(httptrace.GotConnInfo{Conn: fresh})
	is.True(!trace.neverSent())
}

func TestSealAndWriteExcludeEachOther(t *testing.T) {
	is := is.New(t)
	for range 2000 {
		wire := &recordingConn{}
		conn := &trackedConn{Conn: wire}
		var trace sendTrace
		trace.gotConn(httptrace.GotConnInfo{Conn: conn})
		var both sync.WaitGroup
		var never bool
		both.Go(func() { _, _ = conn.Write([]byte("POST")) })
		both.Go(func() { never = trace.neverSent() })
		both.Wait()
		is.Equal(never, wire.writes == 0)
	}
}
