package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"buckthornridge/loadtool/record"
	"buckthornridge/standin/answer"
	"buckthornridge/standin/service"
)

// reader reads and checks the response of one try.
type reader struct {
	caller   *Caller
	ctx      context.Context
	result   *record.Result
	try      *record.Try
	response *http.Response
}

func (r *reader) read() {
	if r.response.StatusCode != http.StatusOK {
		r.readProblem()
		return
	}
	switch {
	case r.result.Call != nil:
		r.readReply()
	case r.result.ModelRequest.Stream:
		r.readStream()
	default:
		r.readFullResponse()
	}
}

func (r *reader) readProblem() {
	var p problem
	if err := json.NewDecoder(r.response.Body).Decode(&p); err != nil {
		r.recordBroken(err)
		return
	}
	r.try.Ending = record.Refused
	p.apply(r.try, r.response.Header)
}

// recordBroken records a response that ended early, by a broken connection or by
// the caller's deadline.
func (r *reader) recordBroken(error) {
	r.try.Ending = record.Broken
	if r.ctx.Err() != nil {
		r.try.Ending = record.TimedOut
	}
}

// recordComplete records a response that the router passed as complete.
func (r *reader) recordComplete() {
	r.try.Ending = record.Complete
	r.result.Done = time.Since(r.caller.start) - r.result.At
	r.result.Completed = r.result.Fault == record.NoFault
}

func (r *reader) recordWrong(format string, args ...any) {
	r.result.RecordFault(record.Wrong, fmt.Sprintf(format, args...))
}

// readReply reads the reply of a plain service.
func (r *reader) readReply() {
	body, err := io.ReadAll(r.response.Body)
	if err != nil {
		r.recordBroken(err)
		return
	}
	var reply service.Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		r.result.RecordFault(record.Truncated, "reply is incomplete: "+err.Error())
	} else if reply.RequestID != r.result.ID || reply.Service != r.result.Call.Service ||
		reply.Digest != service.Digest(r.result.Call.Body) {
		r.recordWrong("reply belongs to request %s, service %s, digest %s", reply.RequestID, reply.Service, reply.Digest)
	}
	r.recordComplete()
}

// The fields of a chat completion that are checked.
type (
	completion struct {
		ID      string   `json:"id"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage"`
		Error   *problem `json:"error"`
	}
	choice struct {
		Delta        content `json:"delta"`
		Message      content `json:"message"`
		FinishReason *string `json:"finish_reason"`
	}
	content struct {
		Content string `json:"content"`
	}
	usage struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		TotalTokens      int64 `json:"total_tokens"`
	}
)

// readFullResponse reads a response that is not streamed.
func (r *reader) readFullResponse() {
	body, err := io.ReadAll(r.response.Body)
	if err != nil {
		r.recordBroken(err)
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil || len(c.Choices) != 1 {
		r.result.RecordFault(record.Truncated, "completion is incomplete")
		r.recordComplete()
		return
	}
	r.result.FirstToken = time.Since(r.caller.start) - r.result.At
	r.checkText(c.Choices[0].Message.Content)
	r.checkMetadata(c)
	r.recordComplete()
}

// readStream reads server-sent events up to [DONE], which marks a complete
// response.
func (r *reader) readStream() {
	var text strings.Builder
	var last *completion
	tokens, previous := 0, time.Time{}
	lines := bufio.NewReader(r.response.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			r.recordBroken(err)
			r.checkPartialText(text.String())
			return
		}
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			break
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			r.recordWrong("event is not JSON: %q", data)
			continue
		}
		if c.Error != nil {
			r.try.Ending = record.Failed
			c.Error.apply(r.try, r.response.Header)
			r.checkPartialText(text.String())
			return
		}
		if len(c.Choices) != 1 || c.ID != r.result.ID {
			r.recordWrong("event belongs to request %q", c.ID)
			continue
		}
		if c.Choices[0].FinishReason != nil {
			last = &c
		}
		if c.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if tokens == 0 {
			r.recordFirstToken(now)
		} else {
			r.result.Gaps = append(r.result.Gaps, now.Sub(previous))
		}
		tokens, previous = tokens+1, now
		text.WriteString(c.Choices[0].Delta.Content)
	}
	r.checkText(text.String())
	if last == nil {
		r.result.RecordFault(record.Truncated, "no finish reason before [DONE]")
	} else {
		r.checkMetadata(*last)
	}
	r.recordComplete()
}

// recordFirstToken records the first token of a try.
func (r *reader) recordFirstToken(now time.Time) {
	r.try.ResponseStarted = true
	r.result.Gaps = nil
	if r.result.FirstToken == 0 {
		r.result.FirstToken = now.Sub(r.caller.start) - r.result.At
	}
}

// expected returns the text and the finish reason of a correct response.
func (r *reader) expected() (text, finish string) {
	tokens, finish := answer.Tokens(r.result.ModelRequest.Model, r.result.ModelRequest.Prompt, r.result.ModelRequest.MaxTokens)
	return strings.Join(tokens, ""), finish
}

// checkText checks the text of a response that was passed as complete.
func (r *reader) checkText(text string) {
	want, _ := r.expected()
	switch {
	case text == want:
	case strings.HasPrefix(want, text):
		r.result.RecordFault(record.Truncated, fmt.Sprintf("%d of %d bytes were passed as complete", len(text), len(want)))
	default:
		r.recordWrong("text of %d bytes differs from the expected text of %d bytes", len(text), len(want))
	}
}

// checkPartialText checks the text of a response that ended early: it must be a
// prefix of the expected text.
func (r *reader) checkPartialText(text string) {
	if want, _ := r.expected(); !strings.HasPrefix(want, text) {
		r.recordWrong("partial text of %d bytes is not a prefix of the expected text", len(text))
	}
}

// checkMetadata checks the id, model, finish reason and usage of a response that
// was passed as complete.
func (r *reader) checkMetadata(c completion) {
	_, finish := r.expected()
	end := c.Choices[0].FinishReason
	if c.ID != r.result.ID || c.Model != r.result.ModelRequest.Model {
		r.recordWrong("response belongs to request %q, model %q", c.ID, c.Model)
	}
	if end == nil || *end != finish {
		r.recordWrong("finish reason is not %q", finish)
	}
	want := usage{
		PromptTokens:     answer.PromptTokens(r.result.ModelRequest.Prompt),
		CompletionTokens: r.result.Output(),
		TotalTokens:      r.result.Spend(),
	}
	if c.Usage == nil || *c.Usage != want {
		r.recordWrong("usage %+v, want %+v", c.Usage, want)
	}
}
