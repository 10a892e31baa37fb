package httpconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport whose connections are Conns.
type Transport struct{ *http.Transport }

// NewTransport returns a transport with the settings of t, which must have DialContext and no
// TLS. MaxResponseHeaderBytes is not needed, since Conn bounds heads.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(raw), nil
	}
	return &Transport{t}
}

// expectResponse is called with the connection that a request is about to be written to.
func expectResponse(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*Conn); ok {
		_ = c.ExpectResponse(nil) // of no bytes
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: expectResponse} // httptrace modifies it
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
