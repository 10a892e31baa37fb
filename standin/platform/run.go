package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Limits of the HTTP server and of its shutdown.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	stopTimeout    = 3 * time.Second
)

// Run serves on the listener until ctx ends, and then waits up to stopTimeout for
// requests in progress.
func Run(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	klog.InfoS("platform started", "address", listener.Addr().String())
	select {
	case err := <-served:
		return eris.Wrapf(err, "serve %s", listener.Addr())
	case <-ctx.Done():
	}
	err := shutdown(server)
	<-served
	klog.InfoS("platform stopped")
	return err
}

// shutdown closes all connections after stopTimeout, since calls under the silent
// fault never finish.
func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(server.Close(), "close platform")
	}
	return eris.Wrap(err, "stop platform")
}
