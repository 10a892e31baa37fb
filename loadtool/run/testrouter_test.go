package run

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"buckthornridge/budget/ledger"
	"buckthornridge/upstream"
)

func readGzipJSON(r *http.Request, into any) {
	unpacked, err := gzip.NewReader(r.Body)
	if err == nil {
		err = json.NewDecoder(unpacked).Decode(into)
	}
	if err != nil {
		panic(err)
	}
}

func budgetOf(r *http.Request) ledger.ID {
	return ledger.ID{Workspace: strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "), Name: "main"}
}

func writeRefusal(w http.ResponseWriter, name, state string) {
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintf(w, `{"type":"urn:buckthornridge:problem:%s","run_state":%q}`, name, state)
}

// refuseRequest refuses a request if the defect or the budget requires it, and
// reports whether it did.
func (b *testFleet) refuseRequest(w http.ResponseWriter, nth int, covered bool) bool {
	switch {
	case b.defect == answersNothing:
		writeRefusal(w, "overloaded", "not_run")
	case !covered, b.defect == refusesWithBudget && nth%5 == 0:
		writeRefusal(w, "budget-exhausted", "not_run")
	default:
		return false
	}
	return true
}

// chat generates a response with the engine and returns it, subject to the defect.
func (b *testFleet) chat(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Model     string             `json:"model"`
		Messages  []upstream.Message `json:"messages"`
		MaxTokens int64              `json:"max_tokens"`
		Stream    bool               `json:"stream"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		panic(err)
	}
	id, key := budgetOf(r), r.Header.Get("Idempotency-Key")
	prompt := upstream.FlattenPrompt(ask.Messages)
	nth, covered := b.checkBudget(id, int64(len(prompt))+ask.MaxTokens)
	if b.refuseRequest(w, nth, covered) {
		return
	}
	tokens, usage := b.generate(r, upstream.Generate{
		StreamID: fmt.Sprintf("%s/%s/%d", id.Workspace, key, nth), Model: ask.Model, Prompt: prompt, MaxTokens: ask.MaxTokens,
	})
	if b.defect == reportsNotRun && nth%5 == 0 {
		writeRefusal(w, "overloaded", "not_run")
		return
	}
	b.bill(id, key, usage.PromptTokens+usage.OutputTokens, nth)
	a := generatedResponse{model: ask.Model, id: key, tokens: tokens, usage: usage}
	b.corruptResponse(&a, ask.Stream, nth)
	if ask.Stream {
		a.writeStream(w, b.defect == cutsStreams && nth%5 == 0)
		return
	}
	a.writeWhole(w)
}

func (b *testFleet) generate(r *http.Request, g upstream.Generate) ([]string, upstream.Usage) {
	stream, err := b.client.Generate(r.Context(), g)
	if err != nil {
		panic(err)
	}
	defer stream.Close()
	var tokens []string
	for {
		token, err := stream.Next()
		if err == io.EOF {
			return tokens, stream.Usage()
		}
		if err != nil {
			panic(err)
		}
		tokens = append(tokens, token.Text)
	}
}

// generatedResponse is a chat response before it is written.
type generatedResponse struct {
	model, id string
	tokens    []string
	usage     upstream.Usage
}

func (b *testFleet) corruptResponse(a *generatedResponse, streamed bool, nth int) {
	switch {
	case b.defect == truncatesStreams && streamed, b.defect == truncatesUnstreamed && !streamed:
		if b.nextTruncates() {
			a.tokens = a.tokens[:len(a.tokens)-1]
		}
	case nth%5 != 0:
	case b.defect == swapsResponses:
		a.tokens[0] = "other "
	case b.defect == misreportsUsage:
		a.usage.OutputTokens++
	}
}

func (a *generatedResponse) usageText() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`,
		a.usage.PromptTokens, a.usage.OutputTokens, a.usage.PromptTokens+a.usage.OutputTokens)
}

func (a *generatedResponse) writeStream(w http.ResponseWriter, cut bool) {
	for _, token := range a.tokens {
		fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", a.id, a.model, token)
		if cut {
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"model\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":%q}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		a.id, a.model, a.usage.FinishReason, a.usageText())
}

func (a *generatedResponse) writeWhole(w http.ResponseWriter) {
	fmt.Fprintf(w, `{"id":%q,"model":%q,"choices":[{"message":{"content":%q},"finish_reason":%q}],"usage":%s}`,
		a.id, a.model, strings.Join(a.tokens, ""), a.usage.FinishReason, a.usageText())
}

// call forwards a request to the plain service.
func (b *testFleet) call(w http.ResponseWriter, r *http.Request) {
	id, key, price := budgetOf(r), r.Header.Get("Idempotency-Key"), int64(2)
	body, _ := io.ReadAll(r.Body)
	if r.Method == http.MethodPost {
		price = 20
	}
	nth, covered := b.checkBudget(id, price)
	if b.refuseRequest(w, nth, covered) {
		return
	}
	call := upstream.Call{RequestID: key, Method: r.Method, Path: "/" + r.PathValue("path"), Body: body}
	reply, err := b.calls.Do(r.Context(), call)
	if err == nil && b.defect == executesTwice {
		reply, err = b.calls.Do(r.Context(), call)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	b.bill(id, key, price, nth)
	_, _ = w.Write(reply.Body)
}
