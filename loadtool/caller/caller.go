// Package caller sends requests as a real caller does: it retries with the same
// Idempotency-Key, honours Retry-After, gives up at a deadline or after a number
// of tries, and checks every byte of every response.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"buckthornridge/loadtool/record"
	"buckthornridge/pause"
)

// Router is one router that callers reach through the balancer.
type Router struct {
	VM      string
	Address string // host:port
}

// Balancer is the platform's load balancer in front of the routers.
type Balancer interface {
	// Next returns the router for the next try of a request. It avoids the VM that
	// failed the last try if there is another.
	Next(avoid string) Router
}

// Options configure a Caller.
type Options struct {
	Balancer Balancer
	// Keys are API keys by workspace.
	Keys map[string]string
	// Deadlines holds, by kind, the time limit for all tries of a request.
	Deadlines map[string]time.Duration
	// Tries is the maximum number of tries of a request.
	Tries int
}

// Caller sends requests through a balancer.
type Caller struct {
	options Options
	client  *http.Client
	start   time.Time
	// Open counts requests in progress.
	Open atomic.Int64
}

// Delays and limits of retries and connections.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	deadlineGrace = 3 * time.Second // how long after its deadline a caller still reads the end of a response
	dialTimeout   = time.Second
	idlePerHost   = 512
	// maxBudgetRefusals is the number of refusals because of an exhausted budget
	// after which a caller gives up.
	maxBudgetRefusals = 3
	// Bounds of a response. One without end counts as broken.
	maxHeadBytes     = 64 << 10
	maxResponseBytes = 16 << 20
)

// New returns a caller that counts planned times from start.
func New(options Options, start time.Time) *Caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Caller{options: options, client: &http.Client{Transport: transport}, start: start}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Run sends one request and retries it until it is answered or given up.
func (c *Caller) Run(ctx context.Context, a record.Arrival) *record.Result {
	c.Open.Add(1)
	defer c.Open.Add(-1)
	result := &record.Result{Arrival: a}
	end := c.start.Add(a.At + c.options.Deadlines[a.Kind] + deadlineGrace)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	avoid := ""
	for n := 1; ; n++ {
		try := c.try(ctx, result, c.options.Balancer.Next(avoid))
		result.Tries = append(result.Tries, try)
		if !shouldRetry(a, try) || n >= c.options.Tries || countBudgetRefusals(result) >= maxBudgetRefusals {
			return result
		}
		avoid = try.VM
		if pause.For(ctx, retryDelay(try, n)) != nil {
			return result
		}
	}
}

// shouldRetry reports whether a real caller would send the request again.
func shouldRetry(a record.Arrival, t record.Try) bool {
	switch t.Ending {
	case record.Complete, record.TimedOut:
		return false
	case record.NotReached, record.Broken, record.Failed:
		return true // the Idempotency-Key makes this safe for at-most-once calls too
	}
	if a.Call != nil && !a.Call.Repeatable && t.Problem == problemOutcomeUnknown {
		return false
	}
	return t.RetryAfter > 0
}

// countBudgetRefusals returns the number of tries that were refused because of
// an exhausted budget.
func countBudgetRefusals(r *record.Result) int {
	count := 0
	for _, t := range r.Tries {
		if t.Problem == problemBudget {
			count++
		}
	}
	return count
}

const problemBudget = "budget-exhausted"

// problemOutcomeUnknown ends a call: a retry would not learn its outcome either.
const problemOutcomeUnknown = "outcome-unknown"

func retryDelay(t record.Try, n int) time.Duration {
	if t.RetryAfter > 0 {
		return min(t.RetryAfter, maxRetryDelay)
	}
	return min(minRetryDelay<<n, maxRetryDelay)
}

// try sends the request to one router and reads the response.
func (c *Caller) try(ctx context.Context, result *record.Result, to Router) record.Try {
	t := record.Try{VM: to.VM, Sent: time.Now()}
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := c.request(traced, result.Arrival, to)
	if err != nil {
		panic(err) // the plan holds an invalid address or method
	}
	response, err := c.client.Do(request)
	if err != nil {
		t.Ending = endingOfError(ctx, err, connected)
		t.Ended = time.Now()
		return t
	}
	defer response.Body.Close()
	response.Body = http.MaxBytesReader(nil, response.Body, maxResponseBytes)
	if vm := response.Header.Get("X-Buckthorn-Vm"); vm != "" {
		t.VM = vm
	}
	reader := reader{caller: c, ctx: ctx, result: result, try: &t, response: response}
	reader.read()
	t.Ended = time.Now()
	return t
}

// idleConnClosed is part of the net/http error for a kept-alive connection that
// the server closed before it read the request. It does not count as a broken
// try: a stopping server may close idle connections at any time. net/http does
// not export the error.
const idleConnClosed = "server closed idle connection"

func endingOfError(ctx context.Context, err error, connected bool) record.Ending {
	switch {
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return record.TimedOut
	case connected && !strings.Contains(err.Error(), idleConnClosed):
		return record.Broken
	}
	return record.NotReached
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Metadata  struct {
		Kind string `json:"kind"`
	} `json:"metadata"`
}

func (c *Caller) request(ctx context.Context, a record.Arrival, to Router) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	if a.Call != nil {
		method, path, body = a.Call.Method, "/v1/services/"+a.Call.Service+a.Call.Path, a.Call.Body
	} else {
		body = chatBody(a)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// With GetBody set, net/http itself resends a request after its connection
	// broke, since the Idempotency-Key header marks it as safe to repeat. The load
	// tool must see every try.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.options.Keys[a.Workspace])
	request.Header.Set("Idempotency-Key", a.ID)
	return request, nil
}

func chatBody(a record.Arrival) []byte {
	request := chatRequest{
		Model:     a.ModelRequest.Model,
		Messages:  []chatMessage{{Role: "user", Content: a.ModelRequest.Content}},
		MaxTokens: a.ModelRequest.MaxTokens,
		Stream:    a.ModelRequest.Stream,
	}
	request.Metadata.Kind = a.Kind
	body, err := json.Marshal(request)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return body
}

// problem is the body of an error response, or the error of a stream event.
type problem struct {
	Type         string `json:"type"`
	RunState     string `json:"run_state"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

const problemPrefix = "urn:buckthornridge:problem:"

func (p problem) apply(t *record.Try, header http.Header) {
	t.Problem = strings.TrimPrefix(p.Type, problemPrefix)
	t.RunState = p.RunState
	t.RetryAfter = time.Duration(p.RetryAfterMS) * time.Millisecond
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && t.RetryAfter == 0 {
		t.RetryAfter = time.Duration(seconds) * time.Second
	}
}
