package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
	"buckthornridge/store/wire"
	"buckthornridge/telemetry"
)

var (
	calls    = expvar.NewMap("platform_calls")         // by step
	failures = expvar.NewMap("platform_call_failures") // by step and error code
)

// exchange is one HTTP request with the properties needed to interpret its
// response.
type exchange struct {
	step   store.Step
	write  bool
	method string
	path   string
	body   []byte
	// maxResponse is the largest accepted response body in bytes.
	maxResponse int64
}

// post returns an exchange that sends a JSON message.
func post(step store.Step, path string, message any) exchange {
	// The messages of package wire always marshal.
	body, _ := json.Marshal(message)
	return exchange{step: step, method: http.MethodPost, path: path, body: body, maxResponse: wire.MaxResponseBytes}
}

func get(step store.Step, path string) exchange {
	return exchange{step: step, method: http.MethodGet, path: path, maxResponse: wire.MaxResponseBytes}
}

// call performs an exchange and decodes its JSON response; check validates the
// decoded response.
func call[A any](ctx context.Context, c *Client, e exchange, check func(A) error) (A, error) {
	var response A
	data, err := c.do(ctx, e)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return response, c.fail(e, e.ambiguousError(), eris.Wrap(err, "malformed response"))
	}
	if err := check(response); err != nil {
		return response, c.fail(e, e.ambiguousError(), eris.Wrap(err, "malformed response"))
	}
	return response, nil
}

// do performs an exchange and returns the body of a response with status 200.
// Within a traced request it has its own span.
func (c *Client) do(ctx context.Context, e exchange) (data []byte, err error) {
	calls.Add(string(e.step), 1)
	ctx, span := telemetry.StartChildSpan(ctx, "platform "+string(e.step))
	defer func() { telemetry.EndSpan(span, err) }()
	return c.roundTrip(ctx, e)
}

func (c *Client) roundTrip(ctx context.Context, e exchange) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	connected := false
	// GotConn runs on this goroutine, before any byte is written. Later trace
	// hooks, such as WroteHeaders, may run after a cancelled RoundTrip has
	// returned.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := c.newRequest(ctx, e)
	if err != nil {
		return nil, c.fail(e, store.ErrInvalid, err)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && !connected {
		return nil, c.fail(e, store.ErrUnavailable, err)
	}
	if err != nil {
		return nil, c.fail(e, e.ambiguousError(), err)
	}
	defer response.Body.Close()
	return c.readResponse(e, response)
}

func (c *Client) newRequest(ctx context.Context, e exchange) (*http.Request, error) {
	url := "http://" + c.options.Address + e.path
	request, err := http.NewRequestWithContext(ctx, e.method, url, bytes.NewReader(e.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(wire.HeaderVM, c.options.VM)
	telemetry.InjectHeader(ctx, request.Header)
	return request, nil
}

func (c *Client) readResponse(e exchange, response *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, e.maxResponse+1))
	if code := wire.Code(response.Header.Get(wire.HeaderError)); code != "" {
		return nil, c.fail(e, e.errorOf(code), errors.New(errorDetail(data)))
	}
	if err != nil {
		return nil, c.fail(e, e.ambiguousError(), err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.fail(e, e.ambiguousError(), eris.Errorf("response without error code header: %s", response.Status))
	}
	if int64(len(data)) > e.maxResponse {
		return nil, c.fail(e, e.ambiguousError(), eris.Errorf("response of more than %d bytes", e.maxResponse))
	}
	return data, nil
}

// ambiguousError returns the error of an exchange whose response is missing or
// can't be trusted.
func (e exchange) ambiguousError() error {
	if e.write {
		return store.ErrOutcomeUnknown
	}
	return store.ErrUnavailable
}

func (e exchange) errorOf(code wire.Code) error {
	if err := wire.ErrorOf(code); !errors.Is(err, store.ErrOutcomeUnknown) {
		return err
	}
	return e.ambiguousError()
}

func errorDetail(data []byte) string {
	var response wire.ErrorResponse
	if json.Unmarshal(data, &response) != nil || response.Detail == "" {
		return "no error detail"
	}
	return response.Detail
}

func (c *Client) fail(e exchange, meaning, cause error) error {
	code, _ := wire.CodeOf(meaning)
	failures.Add(string(e.step)+" "+string(code), 1)
	return store.CallError(string(e.step), c.options.Address, meaning, cause)
}
