package edge

import (
	"sync"

	"k8s.io/klog/v2"

	"buckthornridge/relay"
)

// maxLeaving bounds the processes that are kept as leaving. They outlast their entries in the
// list, which may lapse and come back.
const maxLeaving = 2048

// upstreamProcess is one process of an upstream.
type upstreamProcess struct {
	id    string
	start int64 // relay.Upstream.Start
}

// leavingProcesses holds the upstream processes that have said in their answers that they
// leave. The list of upstreams may say so later, or not while the table is away.
type leavingProcesses struct {
	mu     sync.Mutex
	marked map[upstreamProcess]bool
	order  []upstreamProcess // as marked; the oldest are dropped first
}

// mark records a process and reports whether that is new.
func (l *leavingProcesses) mark(p upstreamProcess) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.marked[p] {
		return false
	}
	if l.marked == nil {
		l.marked = map[upstreamProcess]bool{}
	}
	if len(l.order) >= maxLeaving {
		delete(l.marked, l.order[0])
		l.order = l.order[1:]
	}
	l.marked[p] = true
	l.order = append(l.order, p)
	return true
}

// has reports whether a listed process has said that it leaves.
func (l *leavingProcesses) has(u relay.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.marked[upstreamProcess{u.ID, u.Start}]
}

// keepLeaving keeps all upstreams as leaving that are listed as such: the table may come back
// from a copy that does not say so yet.
func (f *fleet) keepLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.entries {
		if u.Leaving {
			f.leaving.mark(upstreamProcess{u.ID, u.Start})
		}
	}
}

// markLeaving takes an upstream out of use whose process has said that it leaves.
func (f *fleet) markLeaving(u relay.Upstream, process int64) {
	isNew := f.leaving.mark(upstreamProcess{u.ID, u.Start})
	if process != 0 && process != u.Start {
		isNew = f.leaving.mark(upstreamProcess{u.ID, process}) || isNew
	}
	if !isNew {
		return
	}
	klog.Infof("step=upstream_leaves id=%s service=%s start=%d process=%d", u.ID, u.Service, u.Start, process)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish()
}
