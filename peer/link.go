package peer

import (
	"bufio"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/traffic"
)

const (
	sendQueueFrames = 256              // capacity of the send queue of one connection, in frames
	writeTimeout    = 10 * time.Second // of one batch; a peer that accepts no bytes for so long is treated as failed
	bufferBytes     = 32 << 10
)

// errClosed is the reason of a link that this side closed.
var errClosed = eris.New("peer: connection closed")

// link is one connection with its writer goroutine. The frames of all calls go
// through one bounded queue. A full queue blocks the sender, which provides
// backpressure between processes.
type link struct {
	conn      net.Conn
	sendQueue chan []byte
	done      chan struct{}
	once      sync.Once
	err       error // why the link ended; set before done is closed
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, sendQueue: make(chan []byte, sendQueueFrames), done: make(chan struct{})}
}

// send queues a frame and waits while the queue is full. Once the link has ended it
// returns the reason.
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
	case l.sendQueue <- encoded:
		return nil
	case <-l.done:
		return l.err
	}
}

// fail closes the connection and ends the link. Only the first reason is kept.
func (l *link) fail(reason error) {
	l.once.Do(func() {
		l.err = reason
		close(l.done)
		if !errors.Is(reason, errClosed) {
			l.dropUnsent()
		}
		l.conn.Close()
	})
}

// dropUnsent makes closing the connection drop what its socket still holds. After an ordinary
// close a request would reach the peer once the path is back, when it has been given up.
func (l *link) dropUnsent() {
	conn := traffic.Unwrapped(l.conn)
	if secured, ok := conn.(*tls.Conn); ok {
		conn = traffic.Unwrapped(secured.NetConn())
	}
	if lingering, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		if err := lingering.SetLinger(0); err != nil {
			klog.V(1).Infof("step=close_link peer=%s err=%q", l.conn.RemoteAddr(), err.Error())
		}
	}
}

// writeLoop writes queued frames and flushes when the queue is empty, so that
// frames that are queued at the same time share one system call.
func (l *link) writeLoop() {
	w := bufio.NewWriterSize(l.conn, bufferBytes)
	for {
		select {
		case <-l.done:
			return
		case encoded := <-l.sendQueue:
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
		case encoded = <-l.sendQueue:
		default:
			return w.Flush()
		}
	}
}
