package edge

import (
	"net/http"
	"time"

	"buckthornridge/relay"
)

// maxDelay is how long ready work may wait before the process takes no more of it.
const maxDelay = 200 * time.Millisecond

// retryAfterOverload is when a caller that was refused for maxDelay may try again.
const retryAfterOverload = 300 * time.Millisecond

// admit refuses a request while earlier work waits for too long. To begin it would let all
// requests wait until their callers have left.
func (f *callerHandler) admit() *relay.Problem {
	delay := f.delay.Delay()
	if delay <= maxDelay {
		return nil
	}
	f.delay.Refused.Add(1)
	return &relay.Problem{Status: http.StatusServiceUnavailable, Name: "overloaded",
		Detail: "work waits for " + delay.String(), RetryAfter: retryAfterOverload}
}
