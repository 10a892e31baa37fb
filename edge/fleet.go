package edge

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/budget/allowance"
	"buckthornridge/config"
	"buckthornridge/origin"
	"buckthornridge/ratelimit"
	"buckthornridge/reach"
	"buckthornridge/relay"
	"buckthornridge/routing"
	"buckthornridge/store"
)

// Timing of deleted entries.
const (
	// lapseHold is how long after an outage of the table an upstream stays in use whose
	// entry was deleted: entries lapse while their writers can't reach the table, and
	// are written again within two seconds after it. The time counts from the end of the
	// outage, not from the deletion: an upstream that leaves later must get no new work
	// two seconds after it left.
	lapseHold = 2 * time.Second
	// outageThreshold is the time without a response of the table after which its next
	// response counts as the end of an outage.
	outageThreshold = time.Second
)

// fleet is the list of upstreams, read from the table.
type fleet struct {
	decode func(key string, data []byte) (relay.Upstream, error)
	table  *routing.Table
	// lapseDeadline returns the time until which upstreams whose entries were deleted
	// stay in use.
	lapseDeadline func() time.Time
	// routers returns this VM's name and the members of the fleet, this VM included.
	routers func() (self string, all []allowance.Peer)

	current          atomic.Pointer[map[string]relay.Upstream]
	serviceByAddress atomic.Pointer[map[string]string]
	unreadable       atomic.Int64 // number of entries that could not be decoded

	mu            sync.Mutex
	entries       map[string]relay.Upstream // by key
	lapsing       map[string]time.Time      // deleted keys, with the time to remove them
	serviceByName map[string]relay.Service
	evacuated     map[string]bool // data centres that get no new work
	cold          coldUpstreams
	leaving       leavingProcesses

	shares  ratelimit.Routers  // the routers among which the rates of upstreams are divided
	limiter *ratelimit.Limiter // of upstreams that name a rate
	// rejections follows the upstreams that bear few rejections.
	rejections *ratelimit.Rejections
	slotBounds *ratelimit.SlotBounds
	rests      *ratelimit.Rests
	paths      *reach.Tracker // the VM's own paths to the upstreams
	history    *origin.History
	identity   *identities
}

func newFleet(decode func(string, []byte) (relay.Upstream, error), table *routing.Table, lapseDeadline func() time.Time) *fleet {
	f := &fleet{
		decode: decode, table: table, lapseDeadline: lapseDeadline,
		entries: map[string]relay.Upstream{}, lapsing: map[string]time.Time{}, serviceByName: map[string]relay.Service{},
		evacuated: map[string]bool{}, cold: coldUpstreams{}, paths: reach.NewTracker(),
		routers: func() (string, []allowance.Peer) { return "", nil }, history: origin.NewHistory(time.Now()),
	}
	f.identity = &identities{
		staleSince: func() (time.Time, bool) { return time.Time{}, false },
		several:    func(service string) bool { return f.history.Several(service, time.Now()) },
		doubts:     map[string]doubt{},
	}
	f.limiter = ratelimit.NewLimiter(&f.shares, table.SetLimit)
	f.rejections = ratelimit.NewRejections(table.BackOff, f.holderCount)
	f.rests = ratelimit.NewRests(table.SetRest, func(string) int { return f.shares.Count() })
	f.slotBounds = ratelimit.NewSlotBounds(&f.shares, table.SetSlotBound)
	f.slotBounds.FewHolders()
	f.current.Store(&map[string]relay.Upstream{})
	f.serviceByAddress.Store(&map[string]string{})
	return f
}

// serviceAt returns the service of the upstream at an address, or "".
func (f *fleet) serviceAt(address string) string { return (*f.serviceByAddress.Load())[address] }

// idAt returns the id of the upstream at an address, or "".
func (f *fleet) idAt(address string) string {
	for id, u := range *f.current.Load() {
		if u.Address == address {
			return id
		}
	}
	return ""
}

// Upstream implements relay.Fleet.
func (f *fleet) Upstream(id string) (relay.Upstream, bool) {
	u, known := (*f.current.Load())[id]
	return u, known
}

// Any implements relay.Fleet.
func (f *fleet) Any(condition func(relay.Upstream) bool) bool {
	for _, u := range *f.current.Load() {
		if condition(u) {
			return true
		}
	}
	return false
}

// apply applies changes of the segment.
func (f *fleet) apply(changes []store.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			f.remove(change.Key)
			continue
		}
		u, err := f.decode(change.Key, change.Value)
		if err != nil {
			f.unreadable.Add(1)
			klog.Warningf("step=read_upstream result=left_out err=%q", err.Error())
			f.remove(change.Key)
			continue
		}
		delete(f.lapsing, change.Key)
		if old, known := f.entries[change.Key]; !known || old.Leaving != u.Leaving || old.Start != u.Start {
			klog.Infof("step=upstream id=%s service=%s address=%s version=%q start=%d leaving=%t", u.ID, u.Service, u.Address, u.Version, u.Start, u.Leaving)
		}
		f.limiter.Started(u.ID, u.Start)
		f.entries[change.Key] = u
		f.cold.extend(change.Key, u.WarmUp)
	}
	f.publish()
	f.updateHistory()
}

// updateHistory passes the versions that are listed on. The caller must hold f.mu.
func (f *fleet) updateHistory() {
	versions, serving := map[string]map[string]bool{}, map[string]map[string]bool{}
	for _, u := range f.entries {
		addVersion(versions, u)
		if !u.Leaving {
			addVersion(serving, u)
		}
	}
	f.history.Update(versions, time.Now())
	f.history.SetServing(serving)
	f.identity.retain(*f.current.Load())
}

func addVersion(versions map[string]map[string]bool, u relay.Upstream) {
	if versions[u.Service] == nil {
		versions[u.Service] = map[string]bool{}
	}
	versions[u.Service][u.Version] = true
}

// remove removes an upstream, or marks it as lapsing if its entry may only have lapsed.
func (f *fleet) remove(key string) {
	u, known := f.entries[key]
	if !known {
		return
	}
	if until := f.lapseDeadline(); time.Now().Before(until) && !u.Leaving && !f.leaving.has(u) {
		f.lapsing[key] = until
		return
	}
	klog.Infof("step=upstream id=%s service=%s gone=true", u.ID, u.Service)
	if u.Leaving {
		f.leaving.mark(upstreamProcess{u.ID, u.Start}) // an older copy of the table may list it again
	}
	f.forget(key)
}

func (f *fleet) forget(key string) {
	delete(f.entries, key)
	delete(f.lapsing, key)
	delete(f.cold, key)
}

// removeLapsed removes the upstreams whose entries were not written again in time.
func (f *fleet) removeLapsed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	removed := false
	for key, at := range f.lapsing {
		if time.Now().After(at) {
			f.forget(key)
			removed = true
			klog.Infof("step=upstream key=%s gone=true lapsed=true", key)
		}
	}
	if removed {
		f.publish()
		f.updateHistory()
	}
}

// setServices sets the services of the current configuration.
func (f *fleet) setServices(services map[string]relay.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serviceByName = services
	for name, s := range services {
		f.table.SetTransferCost(routing.Target{Service: name}, transferCost(s))
	}
	f.publish()
}

// transferCost returns what it takes the engines of a service to fetch parts of prompts from each
// other; zero if they can't.
func transferCost(s relay.Service) routing.TransferCost {
	if s.PartBytes <= 0 || s.PartLinkMbit <= 0 {
		return routing.TransferCost{}
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	seconds := float64(s.PartBytes) * bitsPerByte / (s.PartLinkMbit * bitsPerMbit)
	return routing.TransferCost{PerToken: time.Duration(seconds * float64(time.Second))}
}

// evacuate starts or ends the evacuation of data centres. Evacuated upstreams finish
// their work and get none. When an evacuation ends, all of them may be cold, and the list
// says so only later.
func (f *fleet) evacuate(orders map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for dataCentre, evacuated := range orders {
		klog.Infof("step=evacuate data_centre=%s evacuated=%t", dataCentre, evacuated)
		if evacuated {
			f.evacuated[dataCentre] = true
		} else if f.evacuated[dataCentre] {
			delete(f.evacuated, dataCentre)
			f.expectCold(dataCentre)
		}
	}
	f.publish()
}

// expectCold treats all upstreams of a data centre as if they had just started.
func (f *fleet) expectCold(dataCentre string) {
	for key, u := range f.entries {
		if u.DataCentre == dataCentre {
			f.cold.extend(key, f.serviceByName[u.Service].WarmUp)
		}
	}
}

// publish makes the list visible to requests. The caller must hold f.mu.
func (f *fleet) publish() {
	services := make(map[string]string, len(f.entries))
	byID := make(map[string]relay.Upstream, len(f.entries))
	upstreams := make(map[string]config.Upstream, len(f.entries))
	inUse := make([]reach.Upstream, 0, len(f.entries))
	bounded := make([]ratelimit.BoundedUpstream, 0, len(f.entries))
	f.updateRouters()
	for key, u := range f.entries {
		u.Leaving = u.Leaving || f.evacuated[u.DataCentre]
		u.LeavesUnlisted = !u.Leaving && f.leaving.has(u)
		u.Leaving = u.Leaving || u.LeavesUnlisted
		if u.Slots <= 0 {
			u.Slots = cmp.Or(max(0, f.serviceByName[u.Service].Slots), routing.DefaultSlots)
		}
		byID[u.ID] = u
		if !u.Leaving {
			inUse = append(inUse, reach.Upstream{ID: u.ID, Service: u.Service})
		}
		services[u.Address] = u.Service
		bounded = append(bounded, ratelimit.BoundedUpstream{ID: u.ID, Service: u.Service, Process: u.Start, Slots: u.Slots})
		upstreams[u.ID] = config.Upstream{
			Kind: config.UpstreamService, Address: u.Address, DataCentre: u.DataCentre,
			Service: u.Service, Slots: u.Slots, Leaving: u.Leaving,
			WarmUp: f.cold.limit(key, u, f.serviceByName[u.Service].WarmUpRate, &f.shares),
		}
	}
	f.current.Store(&byID)
	f.serviceByAddress.Store(&services)
	f.table.Update(&config.Snapshot{Document: config.Document{Upstreams: upstreams}})
	f.limiter.Apply()
	f.slotBounds.Update(bounded)
	for _, u := range byID {
		f.rests.Apply(ratelimit.Process{Upstream: u.ID, Start: u.Start})
	}
	f.paths.Update(inUse)
}

// updateRouters passes the list of routers on.
func (f *fleet) updateRouters() {
	self, routers := f.routers()
	names := make([]string, len(routers))
	for i, r := range routers {
		names[i] = r.VM
	}
	f.slotBounds.Refresh(f.limiter.SetRouters(self, names))
}

// signals returns what applies the upstreams' words on themselves.
func (f *fleet) signals() relay.Signals {
	return relay.Signals{Limiter: f.limiter, Rejections: f.rejections, SlotBounds: f.slotBounds, Rests: f.rests, MarkLeaving: f.markLeaving}
}

// holders returns the other VMs that have a part of an upstream's slots while these are
// bounded.
func (f *fleet) holders(id string) []string {
	u, _ := f.Upstream(id)
	return f.shares.OtherHolders(id, f.slotBounds.Room(u.Service, u.Slots))
}

// holderCount returns how many VMs have such a part.
func (f *fleet) holderCount(id string) int {
	u, _ := f.Upstream(id)
	return f.shares.Holders(f.slotBounds.Room(u.Service, u.Slots))
}
