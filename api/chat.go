package api

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"buckthornridge/request"
	"buckthornridge/upstream"
)

// chat serves POST /v1/chat/completions.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	c, raw, ok := s.authoriseAndReadBody(w, r)
	if !ok {
		return
	}
	body, problem := decodeChat(raw)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	req, problem := c.chatRequest(body, raw, r.Header)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	ctx, cancel := withDeadline(r.Context(), req)
	defer cancel()
	var a modelResponse = &fullResponse{model: body.Model}
	if body.Stream {
		a = &streamedResponse{model: body.Model, id: c.id, w: w, out: http.NewResponseController(w)}
	}
	outcome, err := s.Requests.Do(ctx, req, a.emit)
	if r.Context().Err() != nil {
		return // the caller disconnected; a response would not be read
	}
	a.finish(w, c.id, outcomeOf(outcome, err))
}

// withDeadline sets the deadline of the whole request, and shortens the request's own
// timeout by a margin. The router that runs the request then times out first: it knows
// whether the request ran, and its final response still arrives in time.
func withDeadline(ctx context.Context, r *request.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	r.Timeout -= min(responseMargin, r.Timeout/maxMarginDivisor)
	return ctx, cancel
}

// The margin that is left for the final response to reach the caller.
const (
	responseMargin   = 100 * time.Millisecond
	maxMarginDivisor = 10 // the margin is at most 1/maxMarginDivisor of the timeout
)

// outcomeOf returns the outcome of a request, or, after an error, one with a problem whose
// run state is unknown: the request may have run.
func outcomeOf(outcome request.Outcome, err error) request.Outcome {
	switch {
	case err == nil:
		return outcome
	case errors.Is(err, context.DeadlineExceeded):
		return request.Outcome{Problem: &request.Problem{Name: request.ProblemDeadline, RunState: request.Unknown,
			RetryAfter: time.Second, Detail: "the deadline passed"}}
	}
	return request.Outcome{Problem: &request.Problem{Name: request.ProblemUpstreamFailed, RunState: request.Unknown,
		RetryAfter: time.Second, Detail: err.Error()}}
}

// chatRequest builds the request for a chat completion.
func (c callerInfo) chatRequest(body chatBody, raw []byte, h http.Header) (*request.Request, *request.Problem) {
	model, known := c.snapshot.Models[body.Model]
	if !known {
		return nil, rejection(problemUnknownModel, "model "+body.Model+" is not served here")
	}
	kind, known := c.snapshot.Kinds[body.Metadata.Kind]
	if body.Metadata.Kind != "" && !known {
		return nil, rejection(problemMalformed, "metadata.kind "+body.Metadata.Kind+" is not known")
	}
	timeout, problem := c.timeout(kind, h)
	if problem != nil {
		return nil, problem
	}
	maxTokens := body.MaxTokens
	if maxTokens == 0 || maxTokens > model.MaxOutputTokens {
		maxTokens = model.MaxOutputTokens
	}
	return &request.Request{
		Key:       c.key(),
		Digest:    sha256.Sum256(raw),
		Budget:    c.owner.Budget,
		Kind:      body.Metadata.Kind,
		CallerKey: c.idFromCaller,
		Timeout:   timeout,
		Generate: &request.Generate{
			Model:      body.Model,
			Adapter:    body.Adapter,
			Prompt:     flatten(body.Messages),
			MaxTokens:  maxTokens,
			Priority:   kind.Priority,
			FirstToken: time.Duration(kind.FirstTokenMS) * time.Millisecond,
		},
	}, nil
}

func flatten(messages []message) string {
	all := make([]upstream.Message, len(messages))
	for i, m := range messages {
		all[i] = upstream.Message{Role: m.Role, Content: m.Content}
	}
	return upstream.FlattenPrompt(all)
}

// modelResponse sends a model's response, either whole or as a stream.
type modelResponse interface {
	emit(request.Update) error
	finish(w http.ResponseWriter, id string, outcome request.Outcome)
}

// usageBody is the usage member of a response.
type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

func usageOf(u upstream.Usage) *usageBody {
	return &usageBody{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.OutputTokens,
		TotalTokens:      u.PromptTokens + u.OutputTokens,
		CachedTokens:     u.CachedTokens,
	}
}

type completion struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usageBody `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Content string `json:"content"`
}

// fullResponse buffers a response and sends it when it is complete.
type fullResponse struct {
	model string
	text  strings.Builder
}

func (a *fullResponse) emit(u request.Update) error {
	a.text.WriteString(u.Text)
	return nil
}

func (a *fullResponse) finish(w http.ResponseWriter, id string, outcome request.Outcome) {
	if outcome.Problem != nil {
		writeProblem(w, outcome.Problem)
		return
	}
	countCompleted.Add(1)
	countTokens.Add(outcome.Usage.OutputTokens)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID: id, Object: "chat.completion", Model: a.model,
		Choices: []choice{{
			Message:      &message{Role: "assistant", Content: a.text.String()},
			FinishReason: &outcome.Usage.FinishReason,
		}},
		Usage: usageOf(outcome.Usage),
	})
}
