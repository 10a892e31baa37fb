package engine

import "container/heap"

// queue holds waiting sequences, ordered by ascending priority number and then by
// arrival.
type queue struct{ items sequenceHeap }

func (q *queue) len() int           { return len(q.items) }
func (q *queue) push(s *sequence)   { heap.Push(&q.items, s) }
func (q *queue) pop() *sequence     { return heap.Pop(&q.items).(*sequence) }
func (q *queue) remove(s *sequence) { heap.Remove(&q.items, s.heapIndex) }
func precedes(a, b *sequence) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return a.arrival < b.arrival
}

// sequenceHeap implements heap.Interface.
type sequenceHeap []*sequence

func (h sequenceHeap) Len() int           { return len(h) }
func (h sequenceHeap) Less(i, j int) bool { return precedes(h[i], h[j]) }

func (h sequenceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *sequenceHeap) Push(x any) {
	s := x.(*sequence)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

func (h *sequenceHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return s
}
