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
	c, raw, ok := s.begin(w, r)
	if !ok {
		return
	}
	body, problem := decodeChat(raw)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	req, problem := c.generate(body, raw, r.Header)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	ctx, cancel := withDeadline(r.Context(), req)
	defer cancel()
	var a answer = &wholeAnswer{model: body.Model}
	if body.Stream {
		a = &streamedAnswer{model: body.Model, id: c.id, w: w, out: http.NewResponseController(w)}
	}
	outcome, err := s.Requests.Do(ctx, req, a.token)
	if r.Context().Err() != nil {
		return // the caller left; nobody reads an answer
	}
	a.end(w, c.id, resolve(outcome, err))
}

// withDeadline bounds the whole request, and gives it a little less time than
// that: what gives it up first is then the router that runs it, which knows
// whether it ran, and its final answer still arrives in time.
func withDeadline(ctx context.Context, r *request.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	r.Timeout -= min(answerMargin, r.Timeout/answerShare)
	return ctx, cancel
}

// The time that a final answer may take on its way back.
const (
	answerMargin = 100 * time.Millisecond
	answerShare  = 10 // at most one part in so many of the whole
)

// resolve turns an error on the way of the answer into an outcome. Whatever it
// is, the request may have run.
func resolve(outcome request.Outcome, err error) request.Outcome {
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

// generate makes the request for model work.
func (c caller) generate(body chatBody, raw []byte, h http.Header) (*request.Request, *request.Problem) {
	model, known := c.snapshot.Models[body.Model]
	if !known {
		return nil, notRun(problemUnknownModel, "model "+body.Model+" is not served here")
	}
	kind, known := c.snapshot.Kinds[body.Metadata.Kind]
	if body.Metadata.Kind != "" && !known {
		return nil, notRun(problemMalformed, "metadata.kind "+body.Metadata.Kind+" is not known")
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
		CallerKey: c.chosen,
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

// answer is one of the two forms of a model's answer.
type answer interface {
	token(request.Update) error
	end(w http.ResponseWriter, id string, outcome request.Outcome)
}

// usageBody is the usage member of an answer.
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

// wholeAnswer collects an answer and sends it at once.
type wholeAnswer struct {
	model string
	text  strings.Builder
}

func (a *wholeAnswer) token(u request.Update) error {
	a.text.WriteString(u.Text)
	return nil
}

func (a *wholeAnswer) end(w http.ResponseWriter, id string, outcome request.Outcome) {
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
