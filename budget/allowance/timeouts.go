package allowance

import "time"

// timeouts are how long a request waits for tokens, and how long one loan request to
// another VM may take. They are close to the time that each usually needs, since callers
// wait for the first part of their answer.
type timeouts struct {
	// tokens bounds the wait for a report or a grant under way.
	tokens time.Duration
	// loan bounds the call to one lender: two ways between data centres and, at the
	// lender, a report. Once that much time has passed since the first call, the next
	// call begins only if the last one brought tokens, so that a request waits at most
	// twice as long in vain.
	loan time.Duration
}

var (
	defaultTimeouts = timeouts{tokens: 80 * time.Millisecond, loan: 40 * time.Millisecond}
	// busyLinkTimeouts apply while the VM's link is busy. Answers queue behind callers'
	// traffic then. With the default timeouts each call would be given up just before its
	// answer and repeated, and callers would be refused although tokens were on their
	// way.
	busyLinkTimeouts = timeouts{tokens: 200 * time.Millisecond, loan: 150 * time.Millisecond}
)

// Bounds of the timeouts on a full link.
const (
	// answerMargin multiplies the measured delay of answers.
	answerMargin = 2
	// maxTokensTimeout is how long a request waits for tokens at most: callers wait for the
	// first part of their answer.
	maxTokensTimeout = 600 * time.Millisecond
	// maxCallTimeout bounds a call to the table.
	maxCallTimeout = 3 * time.Second
)

// timeouts returns the timeouts that apply now.
func (m *Manager) timeouts() timeouts {
	if m.options.LinkBusy == nil || !m.options.LinkBusy() {
		return defaultTimeouts
	}
	t := busyLinkTimeouts
	if m.options.AnswerDelay != nil {
		late := min(answerMargin*m.options.AnswerDelay(), maxTokensTimeout)
		t.tokens, t.loan = max(t.tokens, late), max(t.loan, late)
	}
	return t
}

// callTimeout returns how long a call to the table may take: longer while answers wait at the
// VM's link, or each call would be given up and made again just before its answer.
func (m *Manager) callTimeout() time.Duration {
	if m.options.AnswerDelay == nil {
		return callTimeout
	}
	return min(max(callTimeout, answerMargin*m.options.AnswerDelay()), maxCallTimeout)
}
