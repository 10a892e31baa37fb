package relay

import "testing"

// BenchmarkServe measures one request through the relay, without sockets.
//
//	go test ./relay -run '^$' -bench Serve -benchmem
func BenchmarkServe(b *testing.B) {
	h := newHarness(nil, Idempotent)
	q := h.request()
	q.Body = make([]byte, 8<<10)
	b.ReportAllocs()
	for b.Loop() {
		h.steps = append(h.steps[:0], answered("done"))
		h.sent, h.records = h.sent[:0], h.records[:0]
		h.reservedTokens = 0
		h.serve(q)
	}
}
