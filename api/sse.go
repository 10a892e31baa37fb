package api

import (
	"encoding/json"
	"net/http"
	"time"

	"buckthornridge/request"
)

// callerWriteTimeout bounds one write to a caller that reads slowly. The run
// goes on without it; the caller can come back with its key.
const callerWriteTimeout = 10 * time.Second

// doneMark ends a complete answer and nothing else.
const doneMark = "data: [DONE]\n\n"

// streamedAnswer sends an answer as server-sent events.
type streamedAnswer struct {
	model string
	id    string
	w     http.ResponseWriter
	out   *http.ResponseController
	begun bool
}

func (a *streamedAnswer) token(u request.Update) error {
	countTokens.Add(1)
	return a.event(completion{
		ID: a.id, Object: "chat.completion.chunk", Model: a.model,
		Choices: []choice{{Delta: &content{Content: u.Text}}},
	})
}

// event writes one event and flushes it.
func (a *streamedAnswer) event(body any) error {
	if !a.begun {
		a.begun = true
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

func (a *streamedAnswer) write(text string) error {
	// Not every ResponseWriter has deadlines; those of net/http's server do.
	_ = a.out.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := a.w.Write([]byte(text)); err != nil {
		return err
	}
	return a.out.Flush()
}

func (a *streamedAnswer) end(w http.ResponseWriter, id string, outcome request.Outcome) {
	if outcome.Problem != nil && !a.begun {
		writeProblem(w, outcome.Problem)
		return
	}
	if outcome.Problem != nil {
		countProblems.Add(string(outcome.Problem.Name), 1)
		_ = a.event(struct {
			Error problemBody `json:"error"`
		}{bodyOf(outcome.Problem, id)})
		return
	}
	err := a.event(completion{
		ID: id, Object: "chat.completion.chunk", Model: a.model,
		Choices: []choice{{Delta: &content{}, FinishReason: &outcome.Usage.FinishReason}},
		Usage:   usageOf(outcome.Usage),
	})
	if err == nil && a.write(doneMark) == nil {
		countCompleted.Add(1)
	}
	// The next request on this connection sets its own deadline.
	_ = a.out.SetWriteDeadline(time.Time{})
}
