package request

import (
	"context"
	"errors"
	"strings"

	"buckthornridge/quarantine"
	"buckthornridge/upstream"
)

// content identifies requests of the workspace that are the same but for their keys.
func (r *Request) content() quarantine.Request {
	q := quarantine.Request{Workspace: r.Key.Workspace, Body: r.Digest[:]}
	if r.Generate != nil {
		q.Parts = promptParts(r.Generate.Prompt)
	}
	return q
}

const (
	// maxPromptParts bounds the parts of a prompt by which requests are compared.
	maxPromptParts = 32
	// minPartBytes is the length of the shortest line that counts as a part.
	minPartBytes = 8
)

// promptParts returns the lines of a prompt but for the last one, which is what the request
// itself asks. Messages of conversations begin on lines of their own.
func promptParts(prompt string) []quarantine.Part {
	var parts []quarantine.Part
	for len(parts) < maxPromptParts {
		line, rest, _ := strings.Cut(prompt, "\n")
		if strings.TrimSpace(rest) == "" {
			return parts
		}
		if len(line) >= minPartBytes {
			parts = append(parts, quarantine.PartOf(line))
		}
		prompt = rest
	}
	return parts
}

// checkQuarantine returns a problem for a request that ends the upstreams that run it.
func (e *Executor) checkQuarantine(r *Request) *Problem {
	left, refused := e.guard.Refuse(r.content())
	if !refused {
		return nil
	}
	return &Problem{Name: ProblemQuarantined, RunState: NotRun, RetryAfter: left,
		Detail: "upstreams ended while they ran this request"}
}

// answeringTokens is the number of tokens after which an engine is taken to go on with its
// answer. One that crashes as it begins may have sent the first one.
const answeringTokens = 2

// reportAttempt reports what the end of an attempt says about the request. The end of the
// run's own context says nothing about the upstream.
func (e *Executor) reportAttempt(ctx context.Context, r *Request, upstreamID string, answered bool, err error) {
	switch {
	case err == nil:
		e.guard.Completed(r.content())
	case errors.Is(err, upstream.ErrBroken) && ctx.Err() == nil:
		e.guard.Broken(upstreamID, r.content(), answered)
	}
}
