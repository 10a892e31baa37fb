package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
)

// pipeListener accepts the far ends of pipes.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	c, open := <-l
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveLong serves a call that lasts ten seconds and returns how long it ran.
func serveLong(t *testing.T, call func(l pipeListener)) time.Duration {
	t.Helper()
	var ran time.Duration
	listener, server := make(pipeListener), NewServer()
	server.Handle("long", func(ctx context.Context, _ func(any) error, _ Sender) (any, error) {
		began := time.Now()
		defer func() { ran = time.Since(began) }()
		select {
		case <-time.After(10 * time.Second):
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	call(listener)
	server.Close()
	close(listener)
	<-served
	return ran
}

// Guards against work that goes on for a caller which was cut off without a close, beside
// what the caller has others do by then.
func TestCallsOfASilentCallerAreCancelled(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		ran := serveLong(t, func(l pipeListener) {
			near, far := net.Pipe()
			l <- far
			go func() { _, _ = io.Copy(io.Discard, near) }()
			request, err := encodeFrame(&frame{Kind: frameRequest, Call: 1, Method: "long"})
			is.NoErr(err)
			_, err = near.Write(request)
			is.NoErr(err)
			time.Sleep(5 * time.Second)
		})
		is.True(ran <= silenceLimit-pingInterval)
	})
}

// Guards against long calls that are cancelled although their caller lives.
func TestLongCallsOfALiveCallerGoOn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		ran := serveLong(t, func(l pipeListener) {
			client := NewClient(nil)
			client.DialContext = func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				l <- far
				return near, nil
			}
			is.NoErr(client.Call(t.Context(), "vm:1", "long", nil, nil))
			is.NoErr(client.Close())
		})
		is.Equal(ran, 10*time.Second)
	})
}
