package exchange

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/traffic"
)

// Guards against the connection to a sound upstream that falls silent for a second or so
// being given up: TCP_USER_TIMEOUT ends keep-alive too, whatever the count of probes, so it
// must leave time for a second probe.
func TestShortSilenceKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	dialer := NewDialer()
	c, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := traffic.Unwrapped(c).(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var ms int
	is.NoErr(raw.Control(func(fd uintptr) {
		ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	is.NoErr(err)
	probes := dialer.KeepAliveConfig
	is.True(time.Duration(ms)*time.Millisecond > probes.Idle+probes.Interval)
}
