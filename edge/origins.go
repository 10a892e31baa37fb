package edge

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/budget/allowance"
	"buckthornridge/origin"
	"buckthornridge/peer"
	"buckthornridge/relay"
	"buckthornridge/store"
)

const (
	// methodOrigin asks a peer where a stream began.
	methodOrigin = "stream.origin"
	// methodVersions asks a peer for its history of versions.
	methodVersions = "stream.versions"
	// originTimeout bounds the questions for one stream, which are asked at the same time.
	originTimeout = 250 * time.Millisecond
)

// originNotice is a record of where a stream began, for a VM that holds a copy.
type originNotice struct {
	Key    string        `msgpack:"k"`
	Origin origin.Origin `msgpack:"o"`
	ForMS  int64         `msgpack:"m"` // how long it is kept
}

// originAnswer is the answer to methodOrigin.
type originAnswer struct {
	Known  bool          `msgpack:"k"`
	Origin origin.Origin `msgpack:"o"`
}

// origins keeps the records of this VM and the copies of other VMs' records. It implements
// relay.Origins.
type origins struct {
	peers   *peers
	history *origin.History
	records *origin.Records
	// send sends a record to other VMs; nil keeps it here only.
	send func(to []netip.Addr, o originNotice)
	// listIsCurrent reports whether this VM has the list of upstreams as the table has it.
	listIsCurrent func() bool
	// log brings the history up to date with what outlives all VMs.
	log origin.Reader

	mu      sync.Mutex
	fleet   []allowance.Peer // as of which members was made
	members []origin.Member

	found, unknown atomic.Int64 // streams that were taken up
}

func newOrigins(p *peers, h *origin.History) *origins {
	return &origins{peers: p, history: h, records: origin.NewRecords(), listIsCurrent: func() bool { return true }}
}

// Began implements relay.Origins.
func (o *origins) Began(key string, began origin.Origin, until time.Time) {
	now := time.Now()
	o.records.Add(key, began, until, now)
	if o.send == nil {
		return
	}
	if to := o.peers.noticeAddresses(origin.Replicas(key, o.peers.self.VM, o.fleetMembers(), origin.Copies)); len(to) > 0 {
		o.send(to, originNotice{Key: key, Origin: began, ForMS: until.Sub(now).Milliseconds()})
	}
}

// ObserveOrigin implements noticeObserver: it keeps a copy.
func (o *origins) ObserveOrigin(n originNotice) {
	now := time.Now()
	o.records.Add(n.Key, n.Origin, now.Add(time.Duration(n.ForMS)*time.Millisecond), now)
}

// Find implements relay.Origins.
func (o *origins) Find(ctx context.Context, key string, route *relay.Route) (origin.Origin, bool) {
	began, how := o.find(ctx, key, route)
	if how == "" {
		o.unknown.Add(1)
		klog.Infof("step=origin stream=%q route=%s result=unknown", key, route.Name)
		return origin.Origin{}, false
	}
	o.found.Add(1)
	klog.Infof("step=origin stream=%q route=%s result=%s service=%s upstream=%s version=%q known=%t",
		key, route.Name, how, began.Service, began.Process.Upstream, began.Version, began.VersionKnown)
	return began, true
}

// find returns where a stream began and how that is known; "" if it is not.
func (o *origins) find(ctx context.Context, key string, route *relay.Route) (origin.Origin, string) {
	if key != "" {
		if began, known := o.records.Find(key); known {
			return began, "recorded"
		}
		began, answers := o.ask(ctx, key)
		switch {
		case began.IsKnown():
			return began, "asked"
		case answers == 0 && o.peers.count() > 1:
			return origin.Origin{}, "" // this VM may have missed a version that others know
		}
	}
	service, single := route.OnlyService(time.Now())
	if !single || !o.listIsCurrent() {
		return origin.Origin{}, ""
	}
	if err := o.log.Refresh(ctx); err != nil {
		klog.V(1).Infof("step=origin_log result=failed err=%q", err.Error())
		return origin.Origin{}, ""
	}
	if version, only := o.history.Only(service, time.Now()); only {
		return origin.Origin{Service: service, Version: version, VersionKnown: true}, "only_version"
	}
	return origin.Origin{}, ""
}

// Unsettled implements relay.Origins.
func (o *origins) Unsettled(service string) map[string]bool {
	return o.history.Unsettled(service, time.Now())
}

// ask asks the VMs that may hold a copy, all at the same time. It returns how many
// answered.
func (o *origins) ask(ctx context.Context, key string) (began origin.Origin, answers int) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	asked := o.peers.peerAddresses(origin.Replicas(key, o.peers.self.VM, o.fleetMembers(), origin.Asked))
	results := make(chan *originAnswer, len(asked))
	for _, address := range asked {
		go func() { results <- o.askPeer(ctx, address, key) }()
	}
	for range asked {
		answer := <-results
		switch {
		case answer == nil:
			continue
		case answer.Known:
			return answer.Origin, answers + 1
		}
		answers++
	}
	return origin.Origin{}, answers
}

// askPeer asks one peer; nil means that it did not answer.
func (o *origins) askPeer(ctx context.Context, address, key string) *originAnswer {
	answer := new(originAnswer)
	if err := o.peers.client.Call(ctx, address, methodOrigin, key, answer); err != nil {
		klog.V(1).Infof("step=ask_origin peer=%s result=failed err=%q", address, err.Error())
		return nil
	}
	return answer
}

// serve answers peers from the records of this VM.
func (o *origins) serve(server *peer.Server) {
	server.Handle(methodOrigin, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var key string
		if err := decode(&key); err != nil {
			return nil, err
		}
		began, known := o.records.Find(key)
		return originAnswer{Known: known, Origin: began}, nil
	})
	server.Handle(methodVersions, func(context.Context, func(any) error, peer.Sender) (any, error) {
		ages, complete := o.history.Ages(time.Now())
		if !complete {
			return nil, errIncomplete
		}
		return ages, nil
	})
}

// errIncomplete reports that this VM does not know itself what was before its start.
var errIncomplete = eris.New("the history is not complete")

// askVersions asks one peer for its history.
func (o *origins) askVersions(ctx context.Context) (origin.Ages, error) {
	var ages origin.Ages
	err := eris.New("no peer is known")
	for _, address := range o.peers.randomAddresses(1) {
		err = o.peers.client.Call(ctx, address, methodVersions, nil, &ages)
	}
	return ages, err
}

// fleetMembers returns the members of the fleet, this VM included.
func (o *origins) fleetMembers() []origin.Member {
	_, fleet := o.peers.members()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(fleet) == len(o.fleet) && (len(fleet) == 0 || &fleet[0] == &o.fleet[0]) {
		return o.members
	}
	o.fleet, o.members = fleet, make([]origin.Member, len(fleet))
	for i, p := range fleet {
		o.members[i] = origin.Member{Name: p.VM, DataCentre: p.DataCentre}
	}
	return o.members
}

// newVersionLog returns what keeps in the table which versions served.
func (p *Process) newVersionLog() *origin.Log {
	return &origin.Log{
		Table: p.adapter.Table, Feed: p.adapter.Feed, Clock: p.adapter.Clock, History: p.fleet.history,
		AskPeer: p.origins.askVersions,
		Era:     func() int64 { return store.EraOf(p.config.mirror.Version()) },
		Writes: func(service string) bool {
			for _, m := range origin.Replicas(service, "", p.origins.fleetMembers(), origin.Copies) {
				if m.Name == p.settings.VM {
					return true
				}
			}
			return false
		},
	}
}
