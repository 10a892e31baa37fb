package api

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"buckthornridge/config"
	"buckthornridge/request"
)

// service serves calls of plain services.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c, body, ok := s.authoriseAndReadBody(w, r)
	if !ok {
		return
	}
	req, problem := c.serviceRequest(r, body)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	ctx, cancel := withDeadline(r.Context(), req)
	defer cancel()
	outcome, err := s.Requests.Do(ctx, req, func(request.Update) error { return nil })
	if r.Context().Err() != nil {
		return
	}
	outcome = outcomeOf(outcome, err)
	if outcome.Problem != nil {
		writeProblem(w, outcome.Problem)
		return
	}
	countCompleted.Add(1)
	w.Header().Set("Content-Type", outcome.Reply.ContentType)
	w.WriteHeader(outcome.Reply.Status)
	_, _ = w.Write(outcome.Reply.Body)
}

// serviceRequest builds the request for a call of a plain service.
func (c callerInfo) serviceRequest(r *http.Request, body []byte) (*request.Request, *request.Problem) {
	name := r.PathValue("service")
	service, known := c.snapshot.Services[name]
	if !known {
		return nil, rejection(problemNotFound, "there is no service "+name)
	}
	path := "/" + r.PathValue("path")
	operation, known := findOperation(service, r.Method, path)
	if !known {
		return nil, rejection(problemNotFound, "service "+name+" has no operation "+r.Method+" "+path)
	}
	if !operation.Idempotent && !c.idFromCaller {
		return nil, rejection(problemKeyRequired, "this call may not be repeated: send an Idempotency-Key of your own")
	}
	timeout, problem := c.timeout(c.snapshot.Kinds[operation.Kind], r.Header)
	if problem != nil {
		return nil, problem
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &request.Request{
		Key:       c.key(),
		Digest:    digestCall(r.Method, name, path, body),
		Budget:    c.owner.Budget,
		Kind:      operation.Kind,
		CallerKey: c.idFromCaller,
		Timeout:   timeout,
		Call: &request.Call{
			Service:    name,
			Method:     r.Method,
			Path:       path,
			Body:       body,
			Idempotent: operation.Idempotent,
			Tokens:     operation.Tokens,
		},
	}, nil
}

func digestCall(method, service, path string, body []byte) request.Digest {
	h := sha256.New()
	// None of the first three fields can contain a zero byte, so different calls have
	// different input.
	h.Write([]byte(method + "\x00" + service + "\x00" + path + "\x00"))
	h.Write(body)
	return request.Digest(h.Sum(nil))
}

// findOperation returns the operation that matches the path exactly, or else the one with
// the longest matching prefix that ends in "/".
func findOperation(service config.Service, method, path string) (config.Operation, bool) {
	wanted := method + " " + path
	if exact, ok := service.Operations[wanted]; ok {
		return exact, true
	}
	best := ""
	for pattern := range service.Operations {
		if strings.HasSuffix(pattern, "/") && strings.HasPrefix(wanted, pattern) && len(pattern) > len(best) {
			best = pattern
		}
	}
	operation, ok := service.Operations[best]
	return operation, ok
}
