package admission

import "container/list"

// fifo serves in the order of arrival. It is the yardstick that fair_priority is
// compared with.
type fifo struct {
	tickets list.List
	counts  map[string]int
}

func newFIFO() *fifo { return &fifo{counts: map[string]int{}} }

func (q *fifo) push(t *ticket, _ float64) {
	t.place = q.tickets.PushBack(t)
	q.counts[t.workspace]++
}

func (q *fifo) pop() *ticket {
	first := q.tickets.Front()
	if first == nil {
		return nil
	}
	t := first.Value.(*ticket)
	q.remove(t)
	return t
}

func (q *fifo) remove(t *ticket) {
	if t.place == nil {
		return
	}
	q.tickets.Remove(t.place)
	t.place = nil
	q.counts[t.workspace]--
	if q.counts[t.workspace] == 0 {
		delete(q.counts, t.workspace)
	}
}

func (q *fifo) len() int { return q.tickets.Len() }
func (q *fifo) ahead(*ticket, float64) (byPriority, byShare int) {
	return q.tickets.Len(), q.tickets.Len()
}

func (q *fifo) ofWorkspace(workspace string) int { return q.counts[workspace] }
func (q *fifo) displace(string, int) *ticket     { return nil }
func (q *fifo) served(string, float64, float64)  {}
