package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRefuse measures what the check costs a request.
//
//	go test ./quarantine -run '^$' -bench Refuse -benchmem
func BenchmarkRefuse(b *testing.B) {
	body := make([]byte, 8<<10)
	request := Request{Workspace: "studio", Method: "POST", Host: "shop", Target: "/orders/1", Body: body}
	for _, c := range []struct {
		name     string
		suspects int
		matching bool
	}{{"no suspects", 0, false}, {"1000 suspects", 1000, false}, {"suspected itself", 1, true}} {
		b.Run(c.name, func(b *testing.B) {
			g := NewGuard(nil)
			request.Parts = []Part{PartOf("first"), PartOf("kind"), PartOf("session")}
			for i := range partCrashLimit * c.suspects {
				at := time.Now().Add(time.Duration(i-c.suspects*partCrashLimit) * 2 * eventGap)
				g.table.own.parts.add(keyOf(PartOf(fmt.Sprint("deadly", i%max(c.suspects, 1))), 1), Process(i), at)
			}
			for i := range c.suspects {
				r := request
				if !c.matching {
					r.Target = fmt.Sprint("/orders/x", i)
				}
				g.table.own.crashes[Crash{Fingerprint: r.Fingerprint(), Process: 1}] = time.Now()
			}
			g.table.evaluate(time.Now())
			b.ReportAllocs()
			for b.Loop() {
				g.Refuse(request)
			}
		})
	}
}

// BenchmarkAnswering measures what it costs a request that its upstream begins to answer.
func BenchmarkAnswering(b *testing.B) {
	g := NewGuard(nil)
	request := Request{Workspace: "studio", Parts: []Part{PartOf("first"), PartOf("kind"), PartOf("session")}}
	b.ReportAllocs()
	for b.Loop() {
		g.Answering(request)
	}
}

// BenchmarkEvaluate measures one evaluation of the evidence of a large fleet.
func BenchmarkEvaluate(b *testing.B) {
	t := NewTable()
	for router := range 340 {
		o := newObservations()
		for i := range maxCrashes {
			r := Request{Target: fmt.Sprint(router, i)}
			o.crashes[Crash{Fingerprint: r.Fingerprint(), Process: Process(router * i)}] = time.Now()
			o.parts.add(keyOf(Part(router%20*maxCrashes+i), 1), Process(router*i), time.Now())
		}
		t.others[fmt.Sprint(router)] = o
	}
	b.ReportAllocs()
	for b.Loop() {
		t.evaluate(time.Now())
	}
}
