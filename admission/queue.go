package admission

import (
	"container/heap"
	"container/list"
	"time"
)

// waiter is a request that waits for admission.
type waiter struct {
	workspace  string
	priority   int
	cost       float64
	share      float64
	deadline   time.Time // for the first token; zero means none
	firstToken time.Duration
	// result receives nil if the request is admitted, or its refusal. Exactly one
	// value is sent, and the buffer holds it.
	result  chan error
	element *list.Element // nil if the waiter is not in a queue
}

// late reports whether the request misses its deadline even if dispatched now.
func (w *waiter) late(now time.Time) bool {
	return !w.deadline.IsZero() && now.Add(w.firstToken).After(w.deadline)
}

// Queue orders waiting requests. Implementations are kernel modules in Namespace.
// Each pool has its own queue and calls it with the pool's lock held.
type Queue interface {
	push(w *waiter, share float64)
	// pop removes and returns the next waiter, or returns nil.
	pop() *waiter
	remove(w *waiter)
	len() int
	// countAhead returns the number of requests that would be served before a new
	// one: in order of priority, and by the workspace's share of all service.
	countAhead(w *waiter, share float64) (byPriority, byShare int)
	// workspaceLen returns the number of a workspace's waiters.
	workspaceLen(workspace string) int
	// evict removes and returns the newest of a workspace's least urgent waiters if
	// it is less urgent than priority, or returns nil.
	evict(workspace string, priority int) *waiter
	// charge records the cost of an admitted request of a workspace.
	charge(workspace string, share, cost float64)
}

// flow holds one workspace's waiting requests and the service that it has received.
type flow struct {
	workspace string
	share     float64
	// finishTag is the virtual time up to which the flow has received its share.
	finishTag float64
	waiting   int
	levels    map[int]*levelFlow
}

// levelFlow holds a flow's requests of one priority.
type levelFlow struct {
	flow    *flow
	waiters list.List // of *waiter, oldest first
	index   int       // in the level's heap; -1 if not in it
}

// level is a heap of the flows with waiting requests of one priority, the lowest
// finishTag first.
type level struct {
	flows   []*levelFlow
	waiters int
}

func (l *level) Len() int           { return len(l.flows) }
func (l *level) Less(i, j int) bool { return l.flows[i].flow.finishTag < l.flows[j].flow.finishTag }
func (l *level) Swap(i, j int) {
	l.flows[i], l.flows[j] = l.flows[j], l.flows[i]
	l.flows[i].index, l.flows[j].index = i, j
}

// Push implements heap.Interface.
func (l *level) Push(x any) {
	lf := x.(*levelFlow)
	lf.index = len(l.flows)
	l.flows = append(l.flows, lf)
}

// Pop implements heap.Interface.
func (l *level) Pop() any {
	last := l.flows[len(l.flows)-1]
	l.flows = l.flows[:len(l.flows)-1]
	last.index = -1
	return last
}

func (l *level) fix(lf *levelFlow) {
	if lf.index >= 0 {
		heap.Fix(l, lf.index)
	}
}

func (l *level) removeFlow(lf *levelFlow) { heap.Remove(l, lf.index) }
