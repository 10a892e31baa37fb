package admission

import (
	"container/heap"
	"slices"

	"buckthornridge/kernel"
)

// Namespace is the kernel namespace of admission policies.
const Namespace = "admission.policy"

// DefaultPolicy is the policy used when the configuration names none.
const DefaultPolicy = "fair_priority"

func init() {
	kernel.Register(Namespace+".fair_priority", func() any { return newFairPriority() })
	kernel.Register(Namespace+".fifo", func() any { return newFIFO() })
}

const (
	// burst is the service beyond its share that a workspace may get before its
	// requests lose their priority, in tokens per unit of share.
	burst = 500
	// flowCleanupThreshold is the number of flows at which idle ones are removed.
	flowCleanupThreshold = 1024
)

// fairPriority is a queue by priority and weighted fair shares. Among the workspaces
// within their share the most urgent kind is served first; a workspace that exceeds
// its share is served after all of them. With strict priority alone, many captions
// of one workspace would starve the briefs of all others; with fair shares alone, a
// caption would wait behind another workspace's brief.
type fairPriority struct {
	flows      map[string]*flow
	levels     map[int]*level
	priorities []int // sorted keys of levels
	// virtualTime advances by the service that one unit of share receives.
	virtualTime float64
	activeShare float64 // total share of the flows with waiting requests
	waiters     int
}

func newFairPriority() *fairPriority {
	return &fairPriority{flows: map[string]*flow{}, levels: map[int]*level{}}
}

func (q *fairPriority) level(priority int) *level {
	if l := q.levels[priority]; l != nil {
		return l
	}
	q.levels[priority] = &level{}
	at, _ := slices.BinarySearch(q.priorities, priority)
	q.priorities = slices.Insert(q.priorities, at, priority)
	return q.levels[priority]
}

func (q *fairPriority) flow(workspace string, share float64) *flow {
	f := q.flows[workspace]
	if f == nil {
		q.removeIdleFlows()
		f = &flow{workspace: workspace, levels: map[int]*levelFlow{}, finishTag: q.virtualTime}
		q.flows[workspace] = f
	}
	if f.waiting == 0 {
		f.share = share
	}
	return f
}

// removeIdleFlows removes the flows that have no waiting requests and have not
// exceeded their share.
func (q *fairPriority) removeIdleFlows() {
	if len(q.flows) < flowCleanupThreshold {
		return
	}
	for workspace, f := range q.flows {
		if f.waiting == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, workspace)
		}
	}
}

func (q *fairPriority) push(w *waiter, share float64) {
	f := q.flow(w.workspace, share)
	if f.waiting == 0 {
		f.finishTag = max(f.finishTag, q.virtualTime)
		q.activeShare += f.share
	}
	lf := f.levels[w.priority]
	if lf == nil {
		lf = &levelFlow{flow: f, index: -1}
		f.levels[w.priority] = lf
	}
	w.element = lf.waiters.PushBack(w)
	l := q.level(w.priority)
	if lf.index < 0 {
		heap.Push(l, lf)
	}
	l.waiters++
	f.waiting++
	q.waiters++
}

func (q *fairPriority) pop() *waiter {
	lf := q.nextFlow()
	if lf == nil {
		return nil
	}
	w := lf.waiters.Front().Value.(*waiter)
	q.remove(w)
	return w
}

// nextFlow returns the flow to serve next, or nil.
func (q *fairPriority) nextFlow() *levelFlow {
	var urgent *levelFlow
	for _, priority := range q.priorities {
		l := q.levels[priority]
		if len(l.flows) == 0 {
			continue
		}
		first := l.flows[0]
		if first.flow.finishTag <= q.virtualTime+burst {
			return first
		}
		if urgent == nil || first.flow.finishTag < urgent.flow.finishTag {
			urgent = first
		}
	}
	return urgent
}

func (q *fairPriority) remove(w *waiter) {
	if w.element == nil {
		return
	}
	f := q.flows[w.workspace]
	lf := f.levels[w.priority]
	lf.waiters.Remove(w.element)
	w.element = nil
	l := q.levels[w.priority]
	l.waiters--
	if lf.waiters.Len() == 0 {
		l.removeFlow(lf)
	}
	f.waiting--
	q.waiters--
	if f.waiting == 0 {
		q.activeShare -= f.share
	}
}

func (q *fairPriority) charge(workspace string, share, cost float64) {
	f := q.flow(workspace, share)
	f.finishTag = max(f.finishTag, q.virtualTime) + cost/f.share
	for priority, lf := range f.levels {
		q.levels[priority].fix(lf)
	}
	active := q.activeShare
	if f.waiting == 0 {
		active += f.share
	}
	q.virtualTime += cost / active
}

func (q *fairPriority) len() int { return q.waiters }

func (q *fairPriority) workspaceLen(workspace string) int {
	if f := q.flows[workspace]; f != nil {
		return f.waiting
	}
	return 0
}

// countAhead implements Queue. By priority it counts the waiting requests of the
// same or a more urgent priority. By share it counts the requests that other
// workspaces may get served before this one; that number grows with the service
// that this workspace has received beyond its share.
func (q *fairPriority) countAhead(w *waiter, share float64) (byPriority, byShare int) {
	for _, p := range q.priorities {
		if p > w.priority {
			break
		}
		byPriority += q.levels[p].waiters
	}
	own, lead, active := 0, 0.0, q.activeShare
	f := q.flows[w.workspace]
	if f == nil || f.waiting == 0 {
		active += share
	}
	if f != nil {
		own = f.waitingBefore(w.priority)
		lead = max(f.finishTag-q.virtualTime-burst, 0) / w.cost
	}
	return byPriority, int((float64(own+1)/share+lead)*active) - 1
}

// waitingBefore returns the number of the flow's requests that are served before a
// new one of the priority.
func (f *flow) waitingBefore(priority int) int {
	n := 0
	for p, lf := range f.levels {
		if p <= priority {
			n += lf.waiters.Len()
		}
	}
	return n
}

func (q *fairPriority) evict(workspace string, priority int) *waiter {
	f := q.flows[workspace]
	if f == nil {
		return nil
	}
	for i := len(q.priorities) - 1; i >= 0 && q.priorities[i] > priority; i-- {
		lf := f.levels[q.priorities[i]]
		if lf == nil || lf.waiters.Len() == 0 {
			continue
		}
		w := lf.waiters.Back().Value.(*waiter)
		q.remove(w)
		return w
	}
	return nil
}
