package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

const (
	// silenceChecks is how many times in a row, silenceCheck apart, a caller with calls in
	// progress may have sent nothing, not even a ping, before its calls are cancelled. Callers
	// give up a silent peer later (silenceLimit), so that what runs here for one of them has
	// ended before it is sent elsewhere. Checks are counted, not time: frames that
	// arrived while this process was paused are read before the next check.
	silenceChecks = 5
	silenceCheck  = 250 * time.Millisecond
)

// errCallerSilent ends a link whose caller has fallen silent.
var errCallerSilent = eris.Errorf("received nothing for %s", silenceChecks*silenceCheck)

// Window is how many streamed messages a handler may send before its caller
// consumes them.
const Window = 128

// Codes of errors that the package itself returns to callers.
const (
	CodeUnknownMethod = "unknown_method"
	CodeInternal      = "internal"
	CodeCanceled      = "canceled"
	CodeDeadline      = "deadline"
)

// Server serves calls of other processes of the system.
type Server struct {
	handlers map[string]Handler

	mu        sync.Mutex
	listeners []net.Listener
	links     map[*link]struct{}
	closed    bool
	wg        sync.WaitGroup
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{handlers: map[string]Handler{}, links: map[*link]struct{}{}}
}

// Handle adds a method. All methods must be added before Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		return nil
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return eris.Wrap(err, "peer: accept")
		}
		s.addConn(conn)
	}
}

// addListener records a listener so that Close closes it. It closes the listener
// and returns false if the server is already closed.
func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		listener.Close()
		return false
	}
	s.listeners = append(s.listeners, listener)
	return true
}

func (s *Server) addConn(conn net.Conn) {
	l := newLink(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return
	}
	s.links[l] = struct{}{}
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		l.writeLoop()
	}()
	go func() {
		defer s.wg.Done()
		s.serveLink(l)
	}()
}

// Close closes all listeners and connections and waits for the handlers.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for _, listener := range s.listeners {
		listener.Close()
	}
	for l := range s.links {
		l.fail(errClosed)
	}
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}

// inboundCalls is the server side of the calls on one connection.
type inboundCalls struct {
	server *Server
	link   *link
	ctx    context.Context

	mu       sync.Mutex
	calls    map[uint64]*serverCall
	quiet    int  // checks since the last frame
	checking bool // a check is scheduled
}

// serverCall is one running handler.
type serverCall struct {
	// awaited says that the caller waits for the reply, and so sends pings.
	awaited bool
	cancel  context.CancelFunc
	credit  chan int64 // messages added to the window; credits are merged
}

func (s *Server) serveLink(l *link) {
	ctx, cancel := context.WithCancel(context.Background())
	in := &inboundCalls{server: s, link: l, ctx: ctx, calls: map[uint64]*serverCall{}}
	r := bufio.NewReaderSize(l.conn, bufferBytes)
	for {
		f, err := readFrame(r)
		if err != nil {
			l.fail(eris.Wrapf(err, "read from %s", l.conn.RemoteAddr()))
			break
		}
		in.recordFrame()
		in.dispatch(f)
	}
	// The caller's connection is closed, so its calls are cancelled: nobody would
	// receive what their handlers return.
	cancel()
	s.mu.Lock()
	delete(s.links, l)
	s.mu.Unlock()
}

// scheduleCheck has the caller's silence checked soon. The caller holds in.mu.
func (in *inboundCalls) scheduleCheck() {
	if !in.checking {
		in.checking = true
		time.AfterFunc(silenceCheck, in.checkSilence)
	}
}

// checkSilence ends the link if its caller has fallen silent.
func (in *inboundCalls) checkSilence() {
	silent, calls := in.callerSilent()
	if !silent {
		return
	}
	klog.Warningf("step=peer_silent peer=%s calls=%d err=%q", in.link.conn.RemoteAddr(), calls, errCallerSilent.Error())
	in.link.fail(errCallerSilent)
}

// recordFrame records that a frame was received.
func (in *inboundCalls) recordFrame() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.quiet = 0
}

// callerSilent counts a check. It reports whether a caller that waits for replies has sent
// nothing for too long, and how many calls are in progress.
func (in *inboundCalls) callerSilent() (silent bool, calls int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.checking = false
	if !in.awaited() {
		in.quiet = 0
		return false, 0
	}
	if in.quiet++; in.quiet > silenceChecks {
		return true, len(in.calls)
	}
	in.scheduleCheck()
	return false, len(in.calls)
}

// awaited reports whether the caller waits for a reply. The caller holds in.mu.
func (in *inboundCalls) awaited() bool {
	for _, c := range in.calls {
		if c.awaited {
			return true
		}
	}
	return false
}

// cancelCall cancels a call for its caller, who waits for it no longer.
func (in *inboundCalls) cancelCall(call uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c := in.calls[call]; c != nil {
		c.awaited = false
		c.cancel()
	}
}

func (in *inboundCalls) dispatch(f *frame) {
	switch f.Kind {
	case frameRequest, framePush:
		in.startCall(f)
	case frameCancel:
		in.cancelCall(f.Call)
	case frameCredit:
		if c := in.findCall(f.Call); c != nil {
			c.addCredit(f.Credit)
		}
	case framePing:
		// send waits while the queue is full. A pong is not urgent then, since any
		// queued frame also shows the client that this side responds. The error is
		// ignored: it means that the link has ended.
		_ = in.link.send(&frame{Kind: framePong})
	}
}

func (in *inboundCalls) findCall(call uint64) *serverCall {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.calls[call]
}

func (in *inboundCalls) startCall(f *frame) {
	ctx, cancel := context.WithCancel(in.ctx)
	if f.TimeoutMS > 0 {
		cancel()
		ctx, cancel = context.WithTimeout(in.ctx, time.Duration(f.TimeoutMS)*time.Millisecond)
	}
	c := &serverCall{awaited: f.Kind == frameRequest, cancel: cancel, credit: make(chan int64, 1)}
	in.mu.Lock()
	in.calls[f.Call] = c
	if c.awaited {
		in.scheduleCheck()
	}
	in.mu.Unlock()
	in.server.wg.Add(1)
	go func() {
		defer in.server.wg.Done()
		defer in.endCall(f.Call, cancel)
		in.runHandler(ctx, f, c)
	}()
}

func (in *inboundCalls) endCall(call uint64, cancel context.CancelFunc) {
	cancel()
	in.mu.Lock()
	delete(in.calls, call)
	in.mu.Unlock()
}

// runHandler calls the handler of a request and sends its reply or error.
func (in *inboundCalls) runHandler(ctx context.Context, f *frame, c *serverCall) {
	handler, known := in.server.handlers[f.Method]
	if !known {
		in.sendReply(f, nil, &RemoteError{Code: CodeUnknownMethod, Text: f.Method})
		return
	}
	decode := func(into any) error { return decodeBody(f.Body, into) }
	reply, err := handler(ctx, decode, in.sender(ctx, f.Call, c))
	in.sendReply(f, reply, err)
}

func (in *inboundCalls) sendReply(f *frame, reply any, err error) {
	if f.Kind == framePush {
		return
	}
	out := &frame{Kind: frameReply, Call: f.Call}
	if err == nil {
		out.Body, err = encodeBody(reply)
	}
	if err != nil {
		out = &frame{Kind: frameError, Call: f.Call, Code: errorCode(err), Text: err.Error()}
	}
	// The error is ignored: over a broken link the caller can't be reached.
	_ = in.link.send(out)
}

func errorCode(err error) string {
	var coded CodedError
	var remote *RemoteError
	switch {
	case errors.As(err, &coded):
		return coded.Code()
	case errors.As(err, &remote):
		return remote.Code
	case errors.Is(err, context.Canceled):
		return CodeCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return CodeDeadline
	}
	return CodeInternal
}

// sender returns the function that sends a handler's streamed messages within the
// caller's window.
func (in *inboundCalls) sender(ctx context.Context, call uint64, c *serverCall) Sender {
	window := int64(Window)
	return func(message any) error {
		for window <= 0 {
			select {
			case added := <-c.credit:
				window += added
			case <-ctx.Done():
				return eris.Wrapf(ctx.Err(), "stream to %s", in.link.conn.RemoteAddr())
			}
		}
		body, err := encodeBody(message)
		if err != nil {
			return err
		}
		window--
		return in.link.send(&frame{Kind: frameMessage, Call: call, Body: body})
	}
}

// addCredit adds to the window. It merges with a queued credit, and so never blocks
// the connection's reader, which alone calls it.
func (c *serverCall) addCredit(n int64) {
	select {
	case queued := <-c.credit:
		n += queued
	default:
	}
	c.credit <- n
}
