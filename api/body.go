package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"buckthornridge/request"
)

// begin authorises a caller and reads its body. It answers itself, and reports
// false, when either fails.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (caller, []byte, bool) {
	c, problem := s.authorise(w, r)
	if problem != nil {
		writeProblem(w, problem)
		return c, nil, false
	}
	body, problem := readBody(w, r)
	if problem != nil {
		writeProblem(w, problem)
		return c, nil, false
	}
	return c, body, true
}

// readBody reads a caller's body up to MaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *request.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, notRun(problemTooLarge, fmt.Sprintf("the body is over %d bytes", MaxBodyBytes))
	case err != nil:
		return nil, notRun(problemMalformed, "the body could not be read: "+err.Error())
	}
	return body, nil
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is what a caller of chat completions may send. Other members are
// refused: a parameter that is silently ignored gives a wrong answer.
type chatBody struct {
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter"`
	Messages  []message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Metadata  metadata  `json:"metadata"`
	User      string    `json:"user"`
}

type metadata struct {
	Kind string `json:"kind"`
}

// decodeChat reads a chat body and names the place of what is wrong.
func decodeChat(raw []byte) (chatBody, *request.Problem) {
	var body chatBody
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		return body, notRun(problemMalformed, describeJSON(err))
	}
	if _, err := d.Token(); err != io.EOF {
		return body, notRun(problemMalformed, "there is more after the JSON object")
	}
	switch {
	case body.Model == "":
		return body, notRun(problemMalformed, "model is missing")
	case len(body.Messages) == 0:
		return body, notRun(problemMalformed, "messages is missing or empty")
	case body.MaxTokens < 0:
		return body, notRun(problemMalformed, "max_tokens must not be negative")
	}
	return body, nil
}

func describeJSON(err error) string {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Sprintf("the body is no JSON: byte %d: %v", syntax.Offset, err)
	case errors.As(err, &wrongType):
		return fmt.Sprintf("%s must be %s, not %s (byte %d)", wrongType.Field, wrongType.Type, wrongType.Value, wrongType.Offset)
	}
	return "the body is not as it should be: " + err.Error()
}
