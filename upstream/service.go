package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// MaxReplyBytes bounds the body of a plain service's reply.
const MaxReplyBytes = 8 << 20

// RequestIDHeader carries the request id to a plain service.
const RequestIDHeader = "X-Request-Id"

// HTTPService is the client of one server of a plain service over HTTP.
type HTTPService struct {
	address   string // host:port
	transport http.RoundTripper
}

var _ Service = (*HTTPService)(nil)

// NewService returns the client of the server at address, host:port. The
// transport comes from NewTransport; with another one every failure counts as
// ErrBroken, since what was sent cannot be followed.
func NewService(address string, transport http.RoundTripper) *HTTPService {
	return &HTTPService{address: address, transport: transport}
}

// Do implements Service. It sends the call at most once, whatever its method,
// and returns replies of every status. After ErrNotSent alone the call may be
// sent elsewhere.
func (s *HTTPService) Do(ctx context.Context, c Call) (Reply, error) {
	req, err := s.request(ctx, c)
	if err != nil {
		return Reply{}, Failed("call", s.address, ErrNotSent, err)
	}
	resp, err := roundTrip(s.transport, req)
	if err != nil {
		return Reply{}, eris.Wrapf(err, "call %s", s.address)
	}
	defer resp.Body.Close()
	body, err := readBounded(resp.Body, MaxReplyBytes)
	if err != nil {
		return Reply{}, Failed("reply", s.address, ErrBroken, err)
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func (s *HTTPService) request(ctx context.Context, c Call) (*http.Request, error) {
	if !strings.HasPrefix(c.Path, "/") {
		return nil, eris.Errorf("path %q does not start with a slash", c.Path)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.address+c.Path, onceBody(c.Body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	req.Header.Set(RequestIDHeader, c.RequestID)
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	return req, nil
}

// onceBody returns a body that the transport cannot rewind, also for a call
// without one.
//
// On a reused connection that turns out closed, net/http sends requests of the
// methods GET, HEAD, OPTIONS and TRACE again by itself when it can produce their
// body again, an absent one included. The service may have run the first
// sending; a submission would then count twice. An opaque reader rules it out.
func onceBody(body []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}
