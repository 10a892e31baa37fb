package allowance

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Load: a full link, over which nothing should be read that can't be paid. What the grant covers
// is admitted by the head, what the whole sum does not cover is refused for certain, and nothing
// is reserved.
func TestScreenReservesNothing(t *testing.T) {
	is := is.New(t)
	m := New(Options{VM: "a", Incarnation: "1", Clock: fixedClock{}, VMs: func() int { return 1 }})
	a := m.account("b", 1000)
	covered, err := m.Screen("b", 1000, 100)
	is.NoErr(err)
	is.True(!covered) // nothing granted yet
	is.Equal(a.need, int64(100))
	a.granted, a.version = 800, 1
	a.bounds = []usageBound{{reportEntry: reportEntry{Base: 500}}}
	covered, err = m.Screen("b", 1000, 400)
	is.NoErr(err)
	is.True(covered)
	is.Equal(a.open, int64(0))
	_, err = m.Screen("b", 1000, 1001)
	var refused *RefusedError
	is.True(errors.As(err, &refused) && refused.Certain)
}

// fixedClock is a table's clock that stands.
type fixedClock struct{}

func (fixedClock) Now() (time.Duration, bool) { return time.Second, true }

// Guards against calls that are given up just before their answers, which wait at a full link: the
// timeouts follow the delay, within what callers bear.
func TestTimeoutsFollowTheLink(t *testing.T) {
	is := is.New(t)
	delay, busy := time.Duration(0), false
	m := New(Options{VM: "a", Incarnation: "1", LinkBusy: func() bool { return busy }, AnswerDelay: func() time.Duration { return delay }})
	is.Equal(m.timeouts(), defaultTimeouts)
	is.Equal(m.callTimeout(), callTimeout)
	busy, delay = true, 250*time.Millisecond
	is.Equal(m.timeouts(), timeouts{tokens: 500 * time.Millisecond, loan: 500 * time.Millisecond})
	is.Equal(m.callTimeout(), callTimeout)
	delay = time.Second
	is.Equal(m.timeouts().loan, maxTokensTimeout)
	is.Equal(m.callTimeout(), 2*time.Second)
	delay = time.Minute
	is.Equal(m.callTimeout(), maxCallTimeout)
}
