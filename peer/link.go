package peer

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	outQueue     = 256              // frames waiting for the wire on one connection
	writeTimeout = 10 * time.Second // one write; a peer that takes nothing is gone
	bufferBytes  = 32 << 10
)

// errClosed is the reason of a connection that this side closed.
var errClosed = eris.New("peer: connection closed")

// link is one connection with its writer goroutine. Frames from many calls go
// through one bounded queue; a full queue blocks the sender, which is the
// backpressure between processes.
type link struct {
	conn net.Conn
	out  chan []byte
	done chan struct{}
	once sync.Once
	err  error // why the link ended; set before done is closed
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, out: make(chan []byte, outQueue), done: make(chan struct{})}
}

// send queues a frame. After the link ended it returns the reason.
func (l *link) send(f *frame) error {
	encoded, err := encodeFrame(f)
	if err != nil {
		return err
	}
	select {
	case <-l.done:
		return l.err
	default:
	}
	select {
	case l.out <- encoded:
		return nil
	case <-l.done:
		return l.err
	}
}

// fail ends the link for the given reason; only the first reason counts.
func (l *link) fail(reason error) {
	l.once.Do(func() {
		l.err = reason
		close(l.done)
		l.conn.Close()
	})
}

// writeLoop writes queued frames and flushes whenever the queue runs empty, so
// that frames which wait together share one system call.
func (l *link) writeLoop() {
	w := bufio.NewWriterSize(l.conn, bufferBytes)
	for {
		select {
		case <-l.done:
			return
		case encoded := <-l.out:
			if err := l.writeBatch(w, encoded); err != nil {
				l.fail(eris.Wrap(err, "write"))
				return
			}
		}
	}
}

func (l *link) writeBatch(w *bufio.Writer, encoded []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if _, err := w.Write(encoded); err != nil {
			return err
		}
		select {
		case encoded = <-l.out:
		default:
			return w.Flush()
		}
	}
}
