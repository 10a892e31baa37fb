// Package workload generates the requests of a run as an open loop: seeded Poisson
// arrivals at a rate that does not depend on the responses.
package workload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"buckthornridge/config"
	"buckthornridge/loadtool/record"
	"buckthornridge/upstream"
)

// Plan describes the load to generate.
type Plan struct {
	// Prefix is the prefix of all request IDs, so that runs do not share
	// idempotency keys.
	Prefix   string
	Seed     uint64
	Rate     float64 // requests per second
	Duration time.Duration
	// Shares holds the weights of the workspaces. A workspace without a weight gets
	// no requests.
	Shares map[string]float64
	Mix    []RequestClass
}

// RequestClass is one kind of request and its weight among all requests.
type RequestClass struct {
	Kind  string
	Share float64
	// Shape of model requests.
	Model        string
	PromptBytes  int   // minimum length of the shared start of the prompt, in bytes
	MinOutput    int64 // tokens of the response
	MaxOutput    int64
	MaxTokens    int64
	NonStreaming bool // request a single response body
	// Service and Operation of a plain service, as in the configuration folder.
	Service   string
	Operation string
}

// Arrivals returns the requests of the plan in order of time. The result is
// deterministic for a plan and document.
func Arrivals(p Plan, d config.Document) []record.Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 0x6275636b74686f72))
	names := requestingWorkspaces(p, d)
	var all []record.Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration || len(names) == 0 {
			return all
		}
		class := weightedChoice(rng, p.Mix, func(m RequestClass) float64 { return m.Share })
		workspace := weightedChoice(rng, names, func(name string) float64 { return p.Shares[name] })
		id := fmt.Sprintf("%s-%d-%d", p.Prefix, p.Seed, len(all))
		all = append(all, addRequest(rng, class, d, record.Arrival{
			ID: id, At: at, Workspace: workspace, Budget: firstBudget(d.Workspaces[workspace]), Kind: class.Kind,
		}))
	}
}

func requestingWorkspaces(p Plan, d config.Document) []string {
	var names []string
	for name, share := range p.Shares {
		if _, known := d.Workspaces[name]; known && share > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func firstBudget(w config.Workspace) string {
	var names []string
	for name := range w.Budgets {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

// weightedChoice returns a random element with a probability proportional to its
// weight.
func weightedChoice[T any](rng *rand.Rand, items []T, weight func(T) float64) T {
	total := 0.0
	for _, item := range items {
		total += weight(item)
	}
	remaining := rng.Float64() * total
	for _, item := range items {
		if remaining -= weight(item); remaining < 0 {
			return item
		}
	}
	return items[len(items)-1]
}

func addRequest(rng *rand.Rand, class RequestClass, d config.Document, a record.Arrival) record.Arrival {
	if class.Service != "" {
		a.Call = newCall(class, d, a)
		return a
	}
	length := class.MinOutput + rng.Int64N(class.MaxOutput-class.MinOutput+1)
	a.ModelRequest = newModelRequest(class, a, length)
	return a
}

func newModelRequest(class RequestClass, a record.Arrival, length int64) *record.ModelRequest {
	// Requests of the same kind and workspace share a prompt prefix, like requests
	// that include the same brand book.
	shared := strings.Repeat(a.Workspace+" "+a.Kind+" ", class.PromptBytes/(len(a.Workspace)+len(a.Kind)+2)+1)
	content := fmt.Sprintf("%s %s [[tokens=%d]]", shared, a.ID, length)
	return &record.ModelRequest{
		Model:     class.Model,
		Content:   content,
		Prompt:    upstream.FlattenPrompt([]upstream.Message{{Role: "user", Content: content}}),
		MaxTokens: class.MaxTokens,
		Stream:    !class.NonStreaming,
	}
}

func newCall(class RequestClass, d config.Document, a record.Arrival) *record.Call {
	operation := d.Services[class.Service].Operations[class.Operation]
	method, path, _ := strings.Cut(class.Operation, " ")
	if strings.HasSuffix(path, "/") {
		path += a.ID
	}
	c := &record.Call{
		Service: class.Service, Method: method, Path: path,
		Repeatable: operation.Idempotent, Tokens: operation.Tokens,
	}
	if method != "GET" {
		c.Body = fmt.Appendf(nil, `{"order":%q,"workspace":%q}`, a.ID, a.Workspace)
	}
	return c
}
