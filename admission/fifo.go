package admission

import "container/list"

// fifo is a queue in order of arrival. It is the baseline with which fair_priority
// is compared.
type fifo struct {
	waiters list.List
	counts  map[string]int
}

func newFIFO() *fifo { return &fifo{counts: map[string]int{}} }

func (q *fifo) push(w *waiter, _ float64) {
	w.element = q.waiters.PushBack(w)
	q.counts[w.workspace]++
}

func (q *fifo) pop() *waiter {
	first := q.waiters.Front()
	if first == nil {
		return nil
	}
	w := first.Value.(*waiter)
	q.remove(w)
	return w
}

func (q *fifo) remove(w *waiter) {
	if w.element == nil {
		return
	}
	q.waiters.Remove(w.element)
	w.element = nil
	q.counts[w.workspace]--
	if q.counts[w.workspace] == 0 {
		delete(q.counts, w.workspace)
	}
}

func (q *fifo) len() int { return q.waiters.Len() }
func (q *fifo) countAhead(*waiter, float64) (byPriority, byShare int) {
	return q.waiters.Len(), q.waiters.Len()
}

func (q *fifo) workspaceLen(workspace string) int { return q.counts[workspace] }
func (q *fifo) evict(string, int) *waiter         { return nil }
func (q *fifo) charge(string, float64, float64)   {}
