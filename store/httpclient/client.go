// Package httpclient reaches the platform's services over HTTP.
//
// What a failed write means is decided in one place, call.go: the platform's own
// marked answer counts, a request that never got a connection took no effect,
// and anything else leaves the outcome unknown.
package httpclient

import (
	"net"
	"net/http"
	"time"

	"buckthornridge/store"
)

// Options says how to reach the platform.
type Options struct {
	// Address of the platform, host:port.
	Address string
	// VM is the id of the VM that the calls come from.
	VM string
	// Timeout of a call whose context allows longer; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxConns bounds the connections to the platform; 0 means DefaultMaxConns.
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

// Client reaches one platform. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
}

// New returns a client; it connects when it is first called.
func New(options Options) *Client {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxConns == 0 {
		options.MaxConns = DefaultMaxConns
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{options: options, transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     options.MaxConns,
		MaxIdleConnsPerHost: options.MaxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// Services returns the platform's services through this client.
func (c *Client) Services() store.Services {
	return store.Services{Table: table{c}, Objects: objects{c}, VMs: vmList{c}, Weights: weights{c}}
}

// Close closes the idle connections; calls under way finish.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
