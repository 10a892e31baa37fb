package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// MaxReplyBytes limits the body of a plain service's response.
const MaxReplyBytes = 8 << 20

// RequestIDHeader is the header with the request id for a plain service.
const RequestIDHeader = "X-Request-Id"

// HTTPService is the client of one server of a plain service over HTTP.
type HTTPService struct {
	address   string // host:port
	transport http.RoundTripper
}

var _ Service = (*HTTPService)(nil)

// NewService returns the client of the server at address, host:port. The
// transport must come from NewTransport. With any other, what was sent on a
// connection is unknown, so that a failure after connecting is always ErrBroken.
func NewService(address string, transport http.RoundTripper) *HTTPService {
	return &HTTPService{address: address, transport: transport}
}

// Do implements Service. It sends the call at most once, whatever its method,
// and returns responses of every status. The call may be sent to another server
// only after ErrNotSent.
func (s *HTTPService) Do(ctx context.Context, c Call) (Reply, error) {
	req, err := s.request(ctx, c)
	if err != nil {
		return Reply{}, WrapError("call", s.address, ErrNotSent, err)
	}
	resp, err := roundTrip(s.transport, req)
	if err != nil {
		return Reply{}, eris.Wrapf(err, "call %s", s.address)
	}
	defer resp.Body.Close()
	body, err := readBounded(resp.Body, MaxReplyBytes)
	if err == nil && isUnframed(resp) && probeDirectly(ctx, s.address) == Refusing {
		err = errEndedWithConnection
	}
	if err != nil {
		return Reply{}, WrapError("reply", s.address, ErrBroken, err)
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// errEndedWithConnection reports a body without a length whose server has ended, so that
// it may be incomplete.
var errEndedWithConnection = eris.New("the server's process ended with its connection")

// isUnframed reports whether a body has neither a length nor chunks.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// endProbeTimeout bounds the probe of a server after a body without a length.
const endProbeTimeout = 300 * time.Millisecond

func probeDirectly(ctx context.Context, address string) Reachability {
	ctx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	return Prober{Dial: (&net.Dialer{}).DialContext}.Probe(ctx, address)
}

func (s *HTTPService) request(ctx context.Context, c Call) (*http.Request, error) {
	if !strings.HasPrefix(c.Path, "/") {
		return nil, eris.Errorf("path %q does not start with a slash", c.Path)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.address+c.Path, nonRewindableBody(c.Body))
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

// nonRewindableBody returns a body that the transport cannot rewind, even if
// body is empty.
//
// If a reused connection turns out to be closed, net/http retries GET, HEAD,
// OPTIONS and TRACE requests by itself when it can rewind their body or they have
// none. The service may have run the first attempt, so that a submission would
// count twice. An opaque reader prevents the retry.
func nonRewindableBody(body []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}
