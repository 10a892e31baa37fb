package router

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/membership"
	"buckthornridge/pause"
	"buckthornridge/peer"
	"buckthornridge/quarantine"
	"buckthornridge/store"
	"buckthornridge/store/mirror"
)

const (
	// quarantineInterval is the time between two reads of other routers' records in a
	// small fleet.
	quarantineInterval = 500 * time.Millisecond
	quarantineTimeout  = 800 * time.Millisecond
	// methodQuarantine returns the rows that a router knows.
	methodQuarantine = "quarantine.rows"
)

// quarantineReader reads the records of other routers from the platform's table or, while
// it is unavailable, from a router that knows them.
type quarantineReader struct {
	table  store.Table
	peers  peer.Caller
	view   *membership.ViewHolder
	self   string
	apply  func([]store.Change)
	mirror *mirror.Mirror
	count  func() int // number of routers
}

func (r *Router) newQuarantineReader() *quarantineReader {
	return &quarantineReader{
		table: r.services.Table, peers: r.peers, view: r.members.view, self: r.settings.VM,
		apply: r.guard.Table().ApplyChanges, mirror: mirror.New(), count: r.members.routerCount,
	}
}

// serve answers other routers.
func (q *quarantineReader) serve(s *peer.Server) {
	s.Handle(methodQuarantine, func(context.Context, func(any) error, peer.Sender) (any, error) {
		return q.mirror.Since(0), nil
	})
}

// run reads until the context ends.
func (q *quarantineReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := q.readTable(ctx); err != nil {
			klog.V(1).Infof("step=read_quarantine result=failed err=%q", err.Error())
			q.readPeer(ctx)
		}
		_ = pause.For(ctx, membership.ListInterval(quarantineInterval, q.count()))
	}
}

func (q *quarantineReader) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	update := mirror.Update{}
	for after := ""; ; {
		rows, err := q.table.Scan(ctx, quarantine.Segment+"/", after, store.MaxScanRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			update.Changes = append(update.Changes, store.Change{Row: row})
			update.Version = max(update.Version, row.Version)
			after = row.Key
		}
		if len(rows) < store.MaxScanRows {
			q.apply(q.mirror.Apply(update))
			return nil
		}
	}
}

// readPeer reads the rows that one other router knows.
func (q *quarantineReader) readPeer(ctx context.Context) {
	var addresses []string
	for id, m := range q.view.Load().Members {
		if id != q.self && m.Role == roleRouter && m.State <= membership.Suspected {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	address := addresses[rand.IntN(len(addresses))]
	var update mirror.Update
	if err := q.peers.Call(ctx, address, methodQuarantine, struct{}{}, &update); err != nil {
		klog.V(1).Infof("step=read_quarantine peer=%s result=failed err=%q", address, err.Error())
		return
	}
	update.Full = false // a router that has just started knows fewer rows
	q.apply(q.mirror.Apply(update))
}

// quarantineCounters returns the guard's counters for expvar.
func quarantineCounters(g *quarantine.Guard) *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("crashes", expvar.Func(func() any { return g.Counters().Crashes.Load() }))
	m.Set("refused", expvar.Func(func() any { return g.Counters().Refused.Load() }))
	m.Set("suspects", expvar.Func(func() any { suspects, _ := g.Table().Count(); return suspects }))
	m.Set("entries", expvar.Func(func() any { _, entries := g.Table().Count(); return entries }))
	m.Set("part_refused", expvar.Func(func() any { return g.Counters().RefusedForPart.Load() }))
	m.Set("part_suspects", expvar.Func(func() any { suspects, _ := g.Table().CountParts(); return suspects }))
	m.Set("part_entries", expvar.Func(func() any { _, entries := g.Table().CountParts(); return entries }))
	return m
}
