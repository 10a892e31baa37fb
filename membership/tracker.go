package membership

import (
	"expvar"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// Limits are the times by which a Tracker decides the states of members.
type Limits struct {
	// Period is the time between two heartbeats of a process.
	Period time.Duration
	// Suspected and Dead are how long a process may send no heartbeat before it
	// gets that state. With a Dead of 0 missing heartbeats change no state.
	Suspected time.Duration
	Dead      time.Duration
	// SuspicionTTL is how long a failed call counts against a member that sends no
	// heartbeats.
	SuspicionTTL time.Duration
	// LeavingTTL is how long the report that an upstream is leaving counts if its
	// incarnation is unknown.
	LeavingTTL time.Duration
	// RecordTTL is how long the record of a member that is dead, gone or of unknown
	// incarnation is kept after a source last named it.
	RecordTTL time.Duration
	// PauseThreshold is the shortest gap in this process's running that counts as a
	// pause; 0 detects none.
	PauseThreshold time.Duration
}

// DefaultLimits returns limits for one heartbeat a second in fleets of up to 340
// processes. docs/design/membership.md lists the measured delays.
func DefaultLimits() Limits {
	return Limits{
		Period:         time.Second,
		Suspected:      4 * time.Second,
		Dead:           6 * time.Second,
		SuspicionTTL:   5 * time.Second,
		LeavingTTL:     time.Minute,
		RecordTTL:      24 * time.Hour,
		PauseThreshold: time.Second,
	}
}

const (
	// heartbeatsInFlight is how many newer heartbeats of a member may still be in
	// flight in gossip.
	heartbeatsInFlight = 3
	// maxMembers bounds the records, so that a faulty peer can't fill the memory.
	maxMembers = 8192
	// maxTextBytes bounds each text field of a member in a peer's update.
	maxTextBytes = 256
)

// Options sets up a Tracker.
type Options struct {
	// Self is this process; its State is ignored.
	Self Member
	// HeartbeatRoles says which roles send heartbeats.
	HeartbeatRoles map[string]bool
	// Limits default to DefaultLimits if zero.
	Limits Limits
	// Seed makes the random choices reproducible; 0 chooses a random seed.
	Seed uint64
}

// Counters count the events of a Tracker and its gossip.
type Counters struct {
	Heartbeats expvar.Int // heartbeats with a higher sequence than known
	Updates    expvar.Int // updates that announced a new incarnation or a leaving member
	Suspicions expvar.Int // failed calls reported
	Malformed  expvar.Int // messages or entries rejected
	Pauses     expvar.Int // pauses of this process
	Sent       expvar.Int // messages, whether or not the call succeeded
	Failed     expvar.Int // messages that were not sent or whose call failed
}

// Map returns the counters under their published names.
func (c *Counters) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("beats", &c.Heartbeats)
	m.Set("news", &c.Updates)
	m.Set("suspicions", &c.Suspicions)
	m.Set("malformed", &c.Malformed)
	m.Set("wakes", &c.Pauses)
	m.Set("sent", &c.Sent)
	m.Set("failed", &c.Failed)
	return m
}

// Tracker decides the state of each member from all sources. It does no I/O.
// Methods are safe for concurrent use; readers of the view take no lock.
//
// Invariants for one incarnation, whatever the order of events: it becomes gone
// only by the platform's list and stays gone; it never turns from leaving back to
// live; the states suspected and dead end only with a higher heartbeat sequence.
// The exceptions: a member without heartbeats stops being suspected after
// Limits.SuspicionTTL, and a leaving state that was reported for an unknown
// incarnation or set by the configuration can end. A newer incarnation starts
// with a new record, an older one is ignored.
type Tracker struct {
	Counters Counters
	view     ViewHolder
	pause    pauseDetector
	self     Member
	options  Options
	changed  chan struct{}
	urgent   chan struct{}
	resume   chan struct{} // has a value while the resume hooks are to run

	mu                sync.Mutex
	random            *rand.Rand
	records           map[string]*record // by ID
	byKey             map[uint64]*record
	updateQueue       []broadcast
	callFailureQueue  []broadcast
	resumeHooks       []func(time.Duration)
	longestPause      time.Duration   // since the resume hooks last completed
	configuredLeaving map[string]bool // by ID
	nextNeighbour     int             // index into the set of neighbours
	digest            uint64          // of the members that are neither dead nor gone
}

// NewTracker returns a tracker that knows only this process.
func NewTracker(o Options) *Tracker {
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	t := &Tracker{
		self:    o.Self,
		options: o,
		changed: make(chan struct{}, 1),
		urgent:  make(chan struct{}, 1),
		resume:  make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		records: map[string]*record{},
		byKey:   map[uint64]*record{},
	}
	t.pause.recordCheck(time.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.startRecord(nil, o.Self, time.Now())
	own.sequence = 1
	t.nextNeighbour = t.random.IntN(maxMembers)
	t.queueUpdate(own)
	t.publish(time.Now())
	return t
}

// View returns the holder of the published views.
func (t *Tracker) View() *ViewHolder { return &t.view }

// Changed returns a channel that has a value after the view changed.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

// Urgent returns a channel that has a value when there is a message that should
// be sent without waiting for the next round.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

// Tick is called once a period. It advances this process's heartbeat and checks
// which members were silent for too long. The time of a pause of this process
// does not count as silence, since this process received nothing meanwhile.
func (t *Tracker) Tick() {
	now := t.lock()
	defer t.mu.Unlock()
	if own := t.ownRecord(); own != nil {
		own.advance(own.sequence+1, true, now)
	}
	t.dropExpired(now)
	t.publish(now)
}

// ownRecord returns the record of this incarnation, or nil once a newer one is known.
func (t *Tracker) ownRecord() *record {
	if r := t.records[t.self.ID]; r != nil && r.member.Incarnation == t.self.Incarnation {
		return r
	}
	return nil
}

// ApplyVMList applies the platform's list, the only source of the state gone. Lists
// may arrive late or out of order: they never revert what another source reported.
func (t *Tracker) ApplyVMList(vms []store.VM) {
	now := t.lock()
	defer t.mu.Unlock()
	for _, vm := range vms {
		t.applyListed(vm, now)
	}
	t.publish(now)
}

func (t *Tracker) applyListed(vm store.VM, now time.Time) {
	r := t.records[vm.ID]
	restarted := r != nil && store.OlderIncarnation(r.member.Incarnation, vm.Incarnation)
	isNew := r == nil || restarted
	switch {
	case r == nil && len(t.records) >= maxMembers:
		return
	case isNew:
		r = t.startRecord(r, memberOf(vm), now)
	case r.member.Incarnation != vm.Incarnation:
		return // an older incarnation
	}
	r.lastSeen = now
	r.gone = r.gone || vm.State == store.VMGone
	nowLeaving := vm.State == store.VMLeaving && !r.leaving
	r.leaving = r.leaving || nowLeaving
	// Other processes may read the list much later, so changes are sent to them.
	// A member seen for the first time is not: at startup that is the whole fleet.
	if restarted || nowLeaving && !isNew {
		t.queueUpdate(r)
	}
}

func memberOf(vm store.VM) Member {
	return Member{
		ID:          vm.ID,
		Incarnation: vm.Incarnation,
		Role:        vm.Role,
		DataCentre:  vm.DataCentre,
		Region:      vm.Region,
		Address:     vm.Address,
		PeerAddress: vm.PeerAddress,
	}
}

// startRecord creates the record of a new ID, or of a newer incarnation in place
// of the old record.
func (t *Tracker) startRecord(old *record, member Member, now time.Time) *record {
	if old != nil {
		delete(t.byKey, old.key)
	}
	member.State = Live
	r := &record{
		member:            member,
		key:               keyOf(member.ID, member.Incarnation),
		sendsHeartbeats:   t.options.HeartbeatRoles[member.Role],
		advancedAt:        now,
		lastSeen:          now,
		configuredLeaving: t.configuredLeaving[member.ID],
	}
	t.records[member.ID] = r
	t.byKey[r.key] = r
	return r
}

// Suspect records that a call to a member failed.
func (t *Tracker) Suspect(id string, cause error) {
	now := t.lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil || r == t.ownRecord() {
		return
	}
	t.Counters.Suspicions.Add(1)
	if r.clearSequence == 0 {
		klog.Warningf("member %s is suspected: %v", id, cause)
	}
	r.suspect(now, t.options.Limits)
	t.queueCallFailure(r)
	t.publish(now)
}

// ReportTimeout records that a member did not respond in time. The member may be
// paused, or this process or the network may be slow. The report shortens the
// silence after which the member is suspected or dead, at all processes.
func (t *Tracker) ReportTimeout(id string) {
	now := t.lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil && r != t.ownRecord() {
		t.queueCallFailure(r)
		t.publish(now)
	}
}

// Leave marks this process as leaving and announces it to the peers.
func (t *Tracker) Leave() {
	now := t.lock()
	defer t.mu.Unlock()
	if own := t.ownRecord(); own != nil && !own.leaving {
		own.leaving = true
		own.sequence++
		t.queueUpdate(own)
		t.publish(now)
	}
}

// ReportLeaving records that an upstream itself reported that it is leaving, and
// announces it to the peers. The incarnation of an upstream that is in no list is
// unknown, so the report expires after Limits.LeavingTTL unless it is repeated.
func (t *Tracker) ReportLeaving(id, role string) {
	now := t.lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil {
		r = t.startRecord(nil, Member{ID: id, Role: role}, now)
	}
	if t.markLeaving(r, r.member.Incarnation, now) {
		t.queueUpdate(r)
		t.publish(now)
	}
}

// markLeaving records that an incarnation is leaving and reports whether that is
// new or has to be renewed. For an unknown incarnation, "", the record expires.
func (t *Tracker) markLeaving(r *record, incarnation string, now time.Time) bool {
	recentlyReported := !r.reportedLeavingAt.IsZero() && now.Sub(r.reportedLeavingAt) < t.options.Limits.LeavingTTL/2
	if r.leaving || incarnation == "" && recentlyReported {
		return false
	}
	r.lastSeen = now
	if incarnation == "" {
		r.reportedLeavingAt = now
	} else {
		r.leaving = true
	}
	return true
}

// SetConfiguredLeaving sets the IDs of the upstreams that the configuration marks
// as leaving. Operators may revert that. It is not sent to peers, since each VM
// has the configuration.
func (t *Tracker) SetConfiguredLeaving(leaving map[string]bool) {
	now := t.lock()
	defer t.mu.Unlock()
	t.configuredLeaving = maps.Clone(leaving)
	for id, r := range t.records {
		r.configuredLeaving = t.configuredLeaving[id]
	}
	t.publish(now)
}

// dropExpired drops the records of members that no source has named for
// Limits.RecordTTL, so that IDs that never return do not accumulate.
func (t *Tracker) dropExpired(now time.Time) {
	for id, r := range t.records {
		expirable := r.member.State >= Dead || r.member.Incarnation == ""
		if expirable && id != t.self.ID && now.Sub(r.lastSeen) > t.options.Limits.RecordTTL {
			delete(t.records, id)
			delete(t.byKey, r.key)
		}
	}
}

// publish stores a new view if anything in it changed. Callers hold the lock.
func (t *Tracker) publish(now time.Time) {
	old := t.view.Load()
	unchanged := len(old.Members) == len(t.records)
	t.digest = 0
	for id, r := range t.records {
		t.updateState(r, now)
		unchanged = unchanged && old.Members[id] == r.member
		if r.member.State < Dead {
			t.digest ^= r.key + uint64(r.member.State&Leaving)
		}
	}
	if unchanged {
		return
	}
	view := &View{Members: make(map[string]Member, len(t.records))}
	for id, r := range t.records {
		view.Members[id] = r.member
	}
	t.view.Store(view)
	signal(t.changed)
}

func (t *Tracker) updateState(r *record, now time.Time) {
	state := r.state(now, t.options.Limits)
	if r == t.ownRecord() && (state == Suspected || state == Dead) {
		state = Live // a process never suspects itself
	}
	if state != r.member.State {
		klog.V(1).Infof("member %s (%s) changed from %s to %s", r.member.ID, r.member.Incarnation, r.member.State, state)
		r.member.State = state
	}
}

// signal notifies a receiver, which reads the state itself. It never blocks:
// signals that are not received yet are merged.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
