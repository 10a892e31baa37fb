package routing

// An upstream that restarts usually has a new id at the old address. While a router can't
// read the list of upstreams, it goes on sending to the old one, and without notices each
// router of a large fleet would detect the change at the cost of a caller's request.

// OnReplaced sets a function that is called for each upstream whose address this router
// found to belong to another upstream. It must not block.
func (t *Table) OnReplaced(f func(id string)) { t.onReplaced.Store(&f) }

// MarkReplaced applies another router's notice that an upstream's address belongs to
// another upstream.
func (t *Table) MarkReplaced(id string) {
	if e := t.current.Load().entries[id]; e != nil {
		e.health.ejectReplaced(t.now())
	}
}

// replaced ejects an upstream and notifies the other routers. Unlike a failure, one such
// response is proof, so that even the last upstream of a pool is ejected: no request would
// run there.
func (t *Table) replaced(e *entry) {
	e.health.ejectReplaced(t.now())
	if f := t.onReplaced.Load(); f != nil {
		(*f)(e.id)
	}
}
