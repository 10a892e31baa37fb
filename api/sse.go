package api

import (
	"encoding/json"
	"net/http"
	"time"

	"buckthornridge/request"
)

// callerWriteTimeout bounds one write to a slow caller. The run continues after a timeout;
// the caller can retry with its Idempotency-Key.
const callerWriteTimeout = 10 * time.Second

// doneEvent is the last event of a complete stream, and of no other.
const doneEvent = "data: [DONE]\n\n"

// streamedResponse sends a response as server-sent events.
type streamedResponse struct {
	model      string
	id         string
	w          http.ResponseWriter
	out        *http.ResponseController
	headerSent bool
}

func (a *streamedResponse) emit(u request.Update) error {
	countTokens.Add(1)
	return a.writeEvent(completion{
		ID: a.id, Object: "chat.completion.chunk", Model: a.model,
		Choices: []choice{{Delta: &content{Content: u.Text}}},
	})
}

// writeEvent writes one writeEvent and flushes it.
func (a *streamedResponse) writeEvent(body any) error {
	if !a.headerSent {
		a.headerSent = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.WriteHeader(http.StatusOK)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return a.write("data: " + string(encoded) + "\n\n")
}

func (a *streamedResponse) write(text string) error {
	// Not every ResponseWriter supports deadlines; those of net/http's server do.
	_ = a.out.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := a.w.Write([]byte(text)); err != nil {
		return err
	}
	return a.out.Flush()
}

func (a *streamedResponse) finish(w http.ResponseWriter, id string, outcome request.Outcome) {
	if outcome.Problem != nil && !a.headerSent {
		writeProblem(w, outcome.Problem)
		return
	}
	if outcome.Problem != nil {
		countProblems.Add(string(outcome.Problem.Name), 1)
		_ = a.writeEvent(struct {
			Error problemBody `json:"error"`
		}{newProblemBody(outcome.Problem, id)})
		return
	}
	err := a.writeEvent(completion{
		ID: id, Object: "chat.completion.chunk", Model: a.model,
		Choices: []choice{{Delta: &content{}, FinishReason: &outcome.Usage.FinishReason}},
		Usage:   usageOf(outcome.Usage),
	})
	if err == nil && a.write(doneEvent) == nil {
		countCompleted.Add(1)
	}
	// Clear the deadline for the next request on this connection.
	_ = a.out.SetWriteDeadline(time.Time{})
}
