package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/telemetry"
	"buckthornridge/upstream/wire"
)

// maxReportBytes limits the body of a response that is not a stream.
const maxReportBytes = 4 << 20

// HTTPEngine is the client of one model engine over HTTP.
type HTTPEngine struct {
	address   string // host:port
	transport http.RoundTripper
}

var _ Engine = (*HTTPEngine)(nil)

// NewEngine returns the client of the engine at address, host:port. The
// transport must come from NewTransport. With any other, what was sent on a
// connection is unknown, so that a failure after connecting is always ErrBroken.
func NewEngine(address string, transport http.RoundTripper) *HTTPEngine {
	return &HTTPEngine{address: address, transport: transport}
}

// Generate implements Engine. The context applies to the whole stream.
func (e *HTTPEngine) Generate(ctx context.Context, g Generate) (Stream, error) {
	request := wire.Generate{
		StreamID: g.StreamID, Model: g.Model, Adapter: g.Adapter,
		Prompt: g.Prompt, MaxTokens: g.MaxTokens, Priority: g.Priority,
	}
	stream, err := e.open(ctx, wire.PathGenerate, request, g.StreamID, 0)
	if err != nil {
		return nil, err
	}
	return EnforceLimits(ctx, e, stream, g), nil
}

// Resume implements Engine.
func (e *HTTPEngine) Resume(ctx context.Context, streamID string, from int64) (Stream, error) {
	stream, err := e.open(ctx, wire.PathResume, wire.Resume{StreamID: streamID, From: from}, streamID, from)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// open posts a request whose response is a stream of lines.
func (e *HTTPEngine) open(ctx context.Context, path string, body any, id string, from int64) (*httpStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := e.post(ctx, path, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		return nil, e.responseError(path, resp)
	}
	return newStream(id, e.address, from, resp, cancel), nil
}

// Cancel implements Engine. It succeeds if the stream no longer exists.
func (e *HTTPEngine) Cancel(ctx context.Context, streamID string) error {
	err := e.postForStatus(ctx, wire.PathCancel, wire.Cancel{StreamID: streamID})
	if errors.Is(err, ErrNoStream) {
		return nil
	}
	return err
}

// SetDesiredState implements Engine.
func (e *HTTPEngine) SetDesiredState(ctx context.Context, state DesiredState) error {
	return e.postForStatus(ctx, wire.PathOrders, state)
}

// Load implements Engine.
func (e *HTTPEngine) Load(ctx context.Context) (Load, error) {
	var load Load
	err := e.get(ctx, wire.PathLoad, &load)
	return load, err
}

// CacheEvents implements Engine.
func (e *HTTPEngine) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := e.get(ctx, wire.PathCacheEvents+"?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

func (e *HTTPEngine) postForStatus(ctx context.Context, path string, body any) error {
	resp, err := e.post(ctx, path, body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return e.responseError(path, resp)
	}
	return resp.Body.Close()
}

func (e *HTTPEngine) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, WrapError(path, e.address, ErrNotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+path, bytes.NewReader(data))
	if err != nil {
		return nil, WrapError(path, e.address, ErrNotSent, err)
	}
	// Without GetBody the transport cannot retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return e.send(req, path)
}

func (e *HTTPEngine) get(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+path, nil)
	if err != nil {
		return WrapError(path, e.address, ErrNotSent, err)
	}
	resp, err := e.send(req, path)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return e.responseError(path, resp)
	}
	defer resp.Body.Close()
	data, err := readBounded(resp.Body, maxReportBytes)
	if err != nil {
		return WrapError(path, e.address, ErrBroken, err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return WrapError(path, e.address, ErrProtocol, err)
	}
	return nil
}

func (e *HTTPEngine) send(req *http.Request, step string) (*http.Response, error) {
	resp, err := roundTrip(e.transport, req)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", step, e.address)
	}
	return resp, nil
}

// responseError reads the error from an unsuccessful response and closes it.
//
// Only the protocol's own error codes guarantee that the request was not run.
// Any other body, from a proxy for example, does not.
func (e *HTTPEngine) responseError(step string, resp *http.Response) error {
	defer resp.Body.Close()
	data, err := readBounded(resp.Body, maxLineBytes)
	if err != nil {
		return WrapError(step, e.address, ErrBroken, err)
	}
	var problem wire.Problem
	_ = json.Unmarshal(data, &problem) // on failure the code is empty, which counts as unknown below
	switch problem.Error {
	case wire.ErrorLeaving, wire.ErrorFull, wire.ErrorModelNotLoaded, wire.ErrorMalformed, wire.ErrorNoMemory:
		return WrapError(step, e.address, &RefusedError{
			Reason:     RefusalReason(problem.Error),
			RetryAfter: time.Duration(max(problem.RetryAfterMillis, 0)) * time.Millisecond,
		}, nil)
	case wire.ErrorNoStream:
		return WrapError(step, e.address, ErrNoStream, nil)
	case wire.ErrorStreamExists:
		return WrapError(step, e.address, ErrStreamExists, nil)
	case wire.ErrorOldFence:
		return WrapError(step, e.address, ErrStaleFence, nil)
	}
	return WrapError(step, e.address, ErrProtocol, eris.Errorf("status %d without a known error code", resp.StatusCode))
}

// roundTrip sends a request with the trace headers of its context. Its error
// states whether the request may have reached the upstream.
func roundTrip(transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	telemetry.InjectHeader(req.Context(), req.Header)
	var trace sendTrace
	resp, err := transport.RoundTrip(req.WithContext(trace.withTrace(req.Context())))
	if err != nil {
		return nil, WrapError("send", req.URL.Path, trace.sendFailure(), err)
	}
	return resp, nil
}

// readBounded reads a body of at most limit bytes; a longer one is an error.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, eris.Errorf("body exceeds %d bytes", limit)
	}
	return data, nil
}
