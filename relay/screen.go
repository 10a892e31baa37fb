package relay

import (
	"net/http"
	"time"
)

// Link tells of the VM's own link.
type Link interface {
	// Saturated reports whether the link is full.
	Saturated() bool
	// AnswerDelay returns how long answers to this VM's own calls wait at the link.
	AnswerDelay() time.Duration
}

// Admission is what the head of a request says about its turn on the link.
type Admission struct {
	Priority  int
	Workspace string
	Deadline  time.Time
}

// Bounds of what is begun on a full link.
const (
	// tokensByLoan is the longest delay of answers at which tokens are still borrowed for a
	// request.
	tokensByLoan = 300 * time.Millisecond
	// leastService is the time that an upstream needs in any case.
	leastService = 50 * time.Millisecond
)

// Screen decides by the head of a request, before its body has crossed a full link, whether it
// can be served, and refuses it otherwise. It reports whether the request may go on.
func (r *Relay) Screen(w Writer, q *Request, link Link) (Admission, bool) {
	call := &call{relay: r, writer: w, request: q}
	call.record.ID, call.record.Caller, call.record.Origin = q.ID, q.Caller, q.Origin
	problem := call.admit()
	if problem == nil {
		problem = call.checkLink(link.AnswerDelay())
	}
	if problem == nil {
		return Admission{Priority: call.priority, Workspace: call.workspace.Name, Deadline: call.deadline}, true
	}
	call.refuse(problem)
	call.record.Total = time.Since(q.Arrived)
	r.Recorder.RecordRequest(call.record)
	return Admission{}, false
}

// checkLink refuses what would not be answered in time over a link at which answers wait: the
// upstream's answer waits there as well, and so does the answer of whoever has tokens.
func (r *call) checkLink(delay time.Duration) *Problem {
	needs := delay + leastService
	if !r.route.Kind.Retryable() {
		needs += delay / 2 // it is not begun if it may be in vain
	}
	ceiling := r.chargeableSize().Ceiling()
	if ceiling > 0 && r.workspace.Name != "" && r.workspace.Prepaid >= 0 {
		covered, err := r.relay.Budgets.Screen(r.workspace, ceiling)
		if err != nil {
			return asProblem(err)
		}
		if !covered && delay > tokensByLoan {
			return linkFull("tokens", "this VM lacks tokens, and answers wait for "+delay.String())
		}
	}
	if r.remaining() < needs {
		return linkFull("late", "answers wait for "+delay.String())
	}
	return nil
}

// linkFull returns the problem of a request that a full link can't serve.
func linkFull(cause, detail string) *Problem {
	return &Problem{Status: http.StatusServiceUnavailable, Name: "link_full", Cause: cause, Detail: detail, RetryAfter: retryAfterFull}
}
