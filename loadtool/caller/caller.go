// Package caller makes requests as a real caller would: it retries with the same
// Idempotency-Key, honours Retry-After, gives up in the end, and checks every
// byte of every answer.
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

// Balancer stands for the platform's balancer before the routers.
type Balancer interface {
	// Next returns a router for a request's next try, avoiding the VM that
	// just failed it if there is another.
	Next(avoid string) Router
}

// Options of a Caller.
type Options struct {
	Balancer Balancer
	// Keys are API keys by workspace.
	Keys map[string]string
	// Deadlines by kind bound all tries of a request.
	Deadlines map[string]time.Duration
	// Tries is how often a request is sent at most.
	Tries int
}

// Caller makes requests.
type Caller struct {
	options Options
	client  *http.Client
	begun   time.Time
	// Open counts requests under way.
	Open atomic.Int64
}

// Waits between tries.
const (
	minWait     = 50 * time.Millisecond
	maxWait     = 3 * time.Second
	lateBy      = 3 * time.Second // past its deadline a caller still reads the end
	dialTimeout = time.Second
	idlePerHost = 512
	// budgetTries is how often a caller asks who hears that the budget is used up.
	budgetTries = 3
)

// New returns a caller whose planned times count from begun.
func New(options Options, begun time.Time) *Caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		DisableCompression:  true,
	}
	return &Caller{options: options, client: &http.Client{Transport: transport}, begun: begun}
}

// Close frees idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Run makes one request, try by try, until it is answered or given up.
func (c *Caller) Run(ctx context.Context, a record.Arrival) *record.Result {
	c.Open.Add(1)
	defer c.Open.Add(-1)
	result := &record.Result{Arrival: a}
	end := c.begun.Add(a.At + c.options.Deadlines[a.Kind] + lateBy)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	avoid := ""
	for n := 1; ; n++ {
		try := c.try(ctx, result, c.options.Balancer.Next(avoid))
		result.Tries = append(result.Tries, try)
		if !again(a, try) || n >= c.options.Tries || refusedByBudget(result) >= budgetTries {
			return result
		}
		avoid = try.VM
		if pause.For(ctx, wait(try, n)) != nil {
			return result
		}
	}
}

// again tells whether a real caller would send the request once more.
func again(a record.Arrival, t record.Try) bool {
	switch t.Ending {
	case record.Complete, record.TimedOut:
		return false
	case record.NotReached, record.Broken, record.Failed:
		return true // the key makes it safe also where the call may not be repeated
	}
	if a.Call != nil && !a.Call.Repeatable && t.Problem == problemUnknown {
		return false
	}
	return t.RetryAfter > 0
}

// refusedByBudget counts the refusals for want of budget.
func refusedByBudget(r *record.Result) int {
	count := 0
	for _, t := range r.Tries {
		if t.Problem == problemBudget {
			count++
		}
	}
	return count
}

const problemBudget = "budget-exhausted"

// problemUnknown ends a call whose outcome will not be known any better.
const problemUnknown = "outcome-unknown"

func wait(t record.Try, n int) time.Duration {
	if t.RetryAfter > 0 {
		return min(t.RetryAfter, maxWait)
	}
	return min(minWait<<n, maxWait)
}

// try sends the request to one router and reads what comes.
func (c *Caller) try(ctx context.Context, result *record.Result, to Router) record.Try {
	t := record.Try{VM: to.VM, Sent: time.Now()}
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := c.request(traced, result.Arrival, to)
	if err != nil {
		panic(err) // the plan made an address or a method that is none
	}
	response, err := c.client.Do(request)
	if err != nil {
		t.Ending = endingOf(ctx, err, connected)
		t.Ended = time.Now()
		return t
	}
	defer response.Body.Close()
	if vm := response.Header.Get("X-Buckthorn-Vm"); vm != "" {
		t.VM = vm
	}
	reader := reader{caller: c, ctx: ctx, result: result, try: &t, response: response}
	reader.read()
	t.Ended = time.Now()
	return t
}

// closedIdle is net/http's word for a kept connection that the server had closed
// before it saw the request. It is no cut: a stopping server may close what is
// idle at any time. The error itself is not exported.
const closedIdle = "server closed idle connection"

func endingOf(ctx context.Context, err error, connected bool) record.Ending {
	switch {
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return record.TimedOut
	case connected && !strings.Contains(err.Error(), closedIdle):
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
	// Without this net/http itself would send a request again on a connection
	// that broke: its header calls such requests safe, and the tool must see
	// every try.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.options.Keys[a.Workspace])
	request.Header.Set("Idempotency-Key", a.ID)
	return request, nil
}

func chatBody(a record.Arrival) []byte {
	ask := chatRequest{
		Model:     a.Ask.Model,
		Messages:  []chatMessage{{Role: "user", Content: a.Ask.Content}},
		MaxTokens: a.Ask.MaxTokens,
		Stream:    a.Ask.Stream,
	}
	ask.Metadata.Kind = a.Kind
	body, err := json.Marshal(ask)
	if err != nil {
		panic(err) // plain data
	}
	return body
}

// problem is the body of an error.
type problem struct {
	Type         string `json:"type"`
	RunState     string `json:"run_state"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

const problemPrefix = "urn:buckthornridge:problem:"

func (p problem) into(t *record.Try, header http.Header) {
	t.Problem = strings.TrimPrefix(p.Type, problemPrefix)
	t.RunState = p.RunState
	t.RetryAfter = time.Duration(p.RetryAfterMS) * time.Millisecond
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil && t.RetryAfter == 0 {
		t.RetryAfter = time.Duration(seconds) * time.Second
	}
}
