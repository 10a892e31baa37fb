package edge

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/relay"
	"buckthornridge/upstream"
	"buckthornridge/upstream/exchange"
)

// runQuestionTimeout bounds a question whether an upstream works on a request, with the
// opening of its connection.
const runQuestionTimeout = 500 * time.Millisecond

var runStateNames = map[relay.RunState]string{
	relay.RunStateUnknown: "not_said", relay.Unreachable: "unreachable", relay.Running: "running", relay.NotRunning: "not_running",
}

// Runs implements relay.Sender.
func (s pathSender) Runs(ctx context.Context, u relay.Upstream, id string) relay.RunState {
	return runState(ctx, s.direct.pool, s.direct.protocol, u, id)
}

// runState asks an upstream whether it works on a request.
func runState(ctx context.Context, pool *exchange.Pool, protocol Protocol, u relay.Upstream, id string) relay.RunState {
	state := askRun(ctx, pool, protocol, u, id)
	klog.Infof("step=ask_run id=%s upstream=%s result=%s", id, u.ID, runStateNames[state])
	return state
}

func askRun(ctx context.Context, pool *exchange.Pool, protocol Protocol, u relay.Upstream, id string) relay.RunState {
	if protocol.ReadRuns == nil || protocol.ProcessQuestion == "" {
		return relay.RunStateUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, runQuestionTimeout)
	defer cancel()
	var running []string
	said := false
	process, err := pool.Identify(ctx, u.Address, &exchange.Identification{
		Target: protocol.ProcessQuestion,
		Read: func(status int, body []byte) (int64, bool) {
			running, said = protocol.ReadRuns(status, body)
			return protocol.ReadProcess(status, body)
		},
	})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return relay.NotRunning
	case errors.Is(err, upstream.ErrConnectionLimit), errors.Is(err, exchange.ErrInvalidAnswer):
		return relay.RunStateUnknown
	case err != nil:
		return relay.Unreachable
	case process != 0 && process != u.Start, said && !slices.Contains(running, id):
		return relay.NotRunning
	case said:
		return relay.Running
	}
	return relay.RunStateUnknown
}
