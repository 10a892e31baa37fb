package edge

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"k8s.io/klog/v2"

	"buckthornridge/connlimit"
	"buckthornridge/traffic"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// withConn keeps a caller's connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(connlimit.WithConn(ctx, c), connKey{}, c)
}

// tcpOf returns the TCP connection of a request; nil if it has another one.
func tcpOf(r *http.Request) *net.TCPConn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if c == nil {
		return nil
	}
	tcp, _ := traffic.Unwrapped(c).(*net.TCPConn)
	return tcp
}

// resetOnClose makes the close of a request's connection send a reset.
func resetOnClose(r *http.Request) {
	tcp := tcpOf(r)
	if tcp == nil {
		return
	}
	if err := tcp.SetLinger(0); err != nil {
		klog.V(1).Infof("step=abort caller=%s err=%q", r.RemoteAddr, err.Error())
	}
}

// leftOf returns the question whether the caller of a request has closed its connection;
// nil if the connection can't be asked.
func leftOf(r *http.Request) func() bool {
	tcp := tcpOf(r)
	if tcp == nil {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	return func() bool { return closedByPeer(raw) }
}

// closedByPeer reports whether the peer has closed a connection of which all earlier bytes
// were read. It does not wait for a read that is in progress.
func closedByPeer(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && n == 0 || err == syscall.ECONNRESET || err == syscall.EPIPE || err == syscall.ETIMEDOUT
	})
	return closed || err != nil
}
