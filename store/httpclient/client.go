// Package httpclient is the HTTP client of the platform's services.
//
// Failed writes are classified in one place, call.go: a response with the
// platform's error code header has the meaning of that code, a request that never
// got a connection had no effect, and anything else leaves the outcome unknown.
package httpclient

import (
	"net"
	"net/http"
	"time"

	"buckthornridge/httpconn"
	"buckthornridge/store"
)

// Options configures a Client.
type Options struct {
	// Address of the platform, host:port.
	Address string
	// VM is the id of the VM that makes the calls.
	VM string
	// Timeout limits each call in addition to the deadline of its context; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// MaxConns limits the connections to the platform; 0 means DefaultMaxConns.
	MaxConns int
}

// Defaults of Options.
const (
	DefaultTimeout  = 5 * time.Second
	DefaultMaxConns = 32
)

const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 90 * time.Second
)

// Client is a client of one platform. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *httpconn.Transport
}

// New returns a client, which connects at the first call.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxConns == 0 {
		options.MaxConns = DefaultMaxConns
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{options: options, transport: httpconn.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     options.MaxConns,
		MaxIdleConnsPerHost: options.MaxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})}
}

// Services returns the platform's services through this client.
func (c *Client) Services() store.Services {
	return store.Services{Table: table{c}, Objects: objects{c}, VMs: vmList{c}, Weights: weights{c}}
}

// Close closes the idle connections; calls in progress finish.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
