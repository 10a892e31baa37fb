package edge

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/buffers"
	"buckthornridge/connlimit"
	"buckthornridge/lag"
	"buckthornridge/pause"
	"buckthornridge/relay"
	"buckthornridge/telemetry"
)

// defaultBodyBytes bounds a body before a configuration sets the limit.
const defaultBodyBytes = 4 << 20

// How often, and how long, a body waits for the memory of bodies that arrive more slowly.
const (
	bodyRoomTries = 10
	bodyRoomPause = 10 * time.Millisecond
)

// callerHandler serves callers' HTTP requests.
type callerHandler struct {
	protocol  Protocol
	relay     *relay.Relay
	catalogue *relay.CurrentCatalogue
	stopping  *atomic.Bool
	active    *atomic.Int64
	delay     *lag.Meter
	buffers   *buffers.Limit
	link      *callerLink
}

// ServeHTTP implements http.Handler.
func (f *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	writer := &callerWriter{w: w, flusher: http.NewResponseController(w), protocol: f.protocol}
	if !r.ProtoAtLeast(1, 1) {
		writer.resetOnAbort = r
	}
	request, problem := f.protocol.ReadRequest(r)
	arriving := connlimit.RequestOf(r.Context())
	if !arriving.Begin() {
		problem = noMemory("the process has no room for the request")
	}
	if problem == nil {
		problem = f.admit()
	}
	if problem == nil && f.link.saturated() {
		writer.link, writer.request, writer.bytes = f.link, request, r.ContentLength
		w.Header().Set("Connection", "close") // the balancer sends the caller elsewhere next time
		admission, admitted := f.relay.Screen(writer, request, f.link.state)
		if !admitted {
			return
		}
		writer.class = admission.Priority
		problem = f.link.awaitTurn(r.Context(), admission, r.ContentLength)
	}
	var body *buffers.Buffer
	if problem == nil {
		body, problem = f.readBody(w, r, arriving)
		defer body.Free()
	}
	if problem == nil && !arriving.BodyRead() {
		problem = bodyTimeout()
	}
	if problem != nil {
		klog.Infof("step=read_request caller=%s outcome=%s detail=%q", r.RemoteAddr, problem.Name, problem.Detail)
		writer.Refuse(problem)
		return
	}
	request.Body = body.Bytes()
	writer.id = request.ID
	request.Arrived = request.Arrived.Add(-f.delay.Delay())
	request.Left = leftOf(r)
	ctx, span := telemetry.StartSpan(telemetry.ExtractHeader(r.Context(), r.Header), "request", telemetry.Attr("id", request.ID))
	defer telemetry.EndSpan(span, nil)
	f.relay.Serve(ctx, writer, request)
}

// readBody reads the whole body: an incomplete request must not be sent to an upstream,
// and a retry needs the body again.
func (f *callerHandler) readBody(w http.ResponseWriter, r *http.Request, arriving connlimit.Request) (*buffers.Buffer, *relay.Problem) {
	limit := int64(defaultBodyBytes)
	if c := f.catalogue.Load(); c != nil && c.Limits.BodyBytes > 0 {
		limit = c.Limits.BodyBytes
	}
	body := buffers.New(f.buffers, limit)
	tries := 0
	body.OnFull = func() bool {
		tries++
		return tries <= bodyRoomTries && arriving.EvictBody() && pause.For(r.Context(), bodyRoomPause) == nil
	}
	if r.ContentLength >= 0 {
		return body, bodyProblem(body.ReadExactly(r.Body, r.ContentLength))
	}
	err := body.ReadAll(r.Body)
	if errors.Is(err, buffers.ErrTooLong) {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	return body, bodyProblem(err)
}

func bodyTimeout() *relay.Problem {
	return &relay.Problem{Status: http.StatusRequestTimeout, Name: "body_timeout", Detail: "the body did not arrive in time"}
}

func noMemory(detail string) *relay.Problem {
	return &relay.Problem{Status: http.StatusServiceUnavailable, Name: "no_memory", Detail: detail, RetryAfter: retryAfterOverload}
}

func tooLarge() *relay.Problem {
	return &relay.Problem{Status: http.StatusRequestEntityTooLarge, Name: "too_large", Detail: "the body is too long"}
}

func bodyProblem(err error) *relay.Problem {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, buffers.ErrTooLong):
		return tooLarge()
	case errors.Is(err, buffers.ErrFull):
		return noMemory(err.Error())
	case connlimit.TimedOut(err):
		return bodyTimeout()
	}
	return &relay.Problem{Status: http.StatusBadRequest, Name: "body_cut", Detail: err.Error()}
}

// callerWriter writes one response.
type callerWriter struct {
	w        http.ResponseWriter
	flusher  *http.ResponseController
	protocol Protocol
	id       string
	// resetOnAbort is set for requests of HTTP/1.0, where the end of the connection ends a
	// stream: only a reset shows that the stream is incomplete.
	resetOnAbort *http.Request

	// link is set while the VM's link is full; then it decides when a refused caller comes
	// back. The rest describes the request to it.
	link    *callerLink
	request *relay.Request
	class   int
	bytes   int64
}

// Refuse implements relay.Writer.
func (c *callerWriter) Refuse(p *relay.Problem) {
	if c.link != nil {
		p = c.link.schedule(p, c.request, c.class, c.bytes)
	}
	c.protocol.WriteProblem(c.w.Header(), p)
	c.w.Header().Set("Content-Type", "text/plain")
	c.w.WriteHeader(p.Status)
	_, _ = io.WriteString(c.w, p.Name+"\n") // a caller that has disconnected needs no response
}

// WriteResponse implements relay.Writer.
func (c *callerWriter) WriteResponse(status int, h http.Header, body []byte) {
	c.copyHead(h)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(status)
	if len(body) == 0 {
		return
	}
	if _, err := c.w.Write(body); err != nil {
		klog.V(1).Infof("step=answer id=%s result=caller_left err=%q", c.id, err.Error())
	}
}

// Begin implements relay.Writer.
func (c *callerWriter) Begin(status int, h http.Header) {
	c.copyHead(h)
	c.w.WriteHeader(status)
}

func (c *callerWriter) copyHead(h http.Header) {
	head := c.w.Header()
	for name, values := range h {
		head[name] = values
	}
	if _, has := h["Content-Type"]; !has {
		head["Content-Type"] = nil // keeps net/http from detecting a type
	}
	if _, has := h["Date"]; !has {
		head["Date"] = nil
	}
}

// Event implements relay.Writer.
func (c *callerWriter) Event(event []byte) error {
	if _, err := c.w.Write(event); err != nil {
		return err
	}
	return c.flusher.Flush()
}

// Abort implements relay.Writer.
func (c *callerWriter) Abort() {
	if c.resetOnAbort != nil {
		resetOnClose(c.resetOnAbort)
	}
	panic(http.ErrAbortHandler)
}
