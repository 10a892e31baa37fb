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

// authoriseAndReadBody authorises a caller and reads the request's body. If either
// fails, it writes the problem and returns false.
func (s *Server) authoriseAndReadBody(w http.ResponseWriter, r *http.Request) (callerInfo, []byte, bool) {
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

// readBody reads a body of at most MaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *request.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, rejection(problemTooLarge, fmt.Sprintf("the body is over %d bytes", MaxBodyBytes))
	case err != nil:
		return nil, rejection(problemMalformed, "the body could not be read: "+err.Error())
	}
	return body, nil
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is the body of a chat completion. Unknown members are rejected, because
// silently ignoring a parameter would give a wrong response.
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

// decodeChat decodes and validates a chat body. The problem names the faulty member or
// byte.
func decodeChat(raw []byte) (chatBody, *request.Problem) {
	var body chatBody
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		return body, rejection(problemMalformed, describeDecodeError(err))
	}
	if _, err := d.Token(); err != io.EOF {
		return body, rejection(problemMalformed, "there is more after the JSON object")
	}
	switch {
	case body.Model == "":
		return body, rejection(problemMalformed, "model is missing")
	case len(body.Messages) == 0:
		return body, rejection(problemMalformed, "messages is missing or empty")
	case body.MaxTokens < 0:
		return body, rejection(problemMalformed, "max_tokens must not be negative")
	}
	return body, nil
}

func describeDecodeError(err error) string {
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
