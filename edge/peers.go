package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"buckthornridge/budget/allowance"
	"buckthornridge/origin"
	"buckthornridge/pause"
	"buckthornridge/peer"
	"buckthornridge/store"
	"buckthornridge/store/mirror"
	"buckthornridge/traffic"
)

const (
	// memberSegment holds one row for each VM of the system.
	memberSegment = "members"
	// methodSince asks a peer for the changes in its mirror of a segment.
	methodSince = "mirror.since"
	// peersPerPoll is the number of peers in one poll.
	peersPerPoll = 2
	// memberInterval is the time between two reads of the list of members;
	// firstMemberInterval is that between the first few, while a fleet starts.
	memberInterval      = 5 * time.Second
	firstMemberInterval = time.Second
	firstMemberReads    = 4
	memberTimeout       = 800 * time.Millisecond
)

// member is the row of one VM.
type member struct {
	Address     string `msgpack:"a"` // of the peer listener, host:port
	Incarnation string `msgpack:"i"`
	// DataCentre and Strength decide which budgets the VM holds; see allowance.Peer.
	DataCentre string  `msgpack:"z"`
	Strength   float64 `msgpack:"s"`
}

// sinceRequest asks for the changes of a segment after a version.
type sinceRequest struct {
	Segment string `msgpack:"s"`
	Version int64  `msgpack:"v"`
}

// peers knows the other processes of the system. It gets changes from them while the
// table does not answer.
type peers struct {
	self    allowance.Peer // this VM
	address string         // this process's peer address
	client  *peer.Client
	table   store.Table
	feed    store.Feed
	traffic *traffic.Meter

	mu        sync.Mutex
	addresses map[string]string // by VM
	seeds     []string
	rows      map[string]store.Row
	// era is that of the rows; before are the rows of the era before, which count until
	// beforeUntil: the table may have lost them.
	era         int64
	before      []store.Change
	beforeUntil time.Time
	last        []store.Change // as last read
	// fleet is the list of members, this VM included. It is empty before the list was
	// read.
	fleet []allowance.Peer
	// hostAddresses are the addresses of the other VMs.
	hostAddresses []netip.Addr
	hostByVM      map[string]netip.Addr
	// sharingCache keeps the holders of budgets until the list of members changes.
	sharingCache map[string]allowance.Sharing
}

// maxCachedSharings bounds sharingCache, which is cleared when it is full.
const maxCachedSharings = 4096

// hosts returns the addresses of the other VMs. The caller must not change the list.
func (p *peers) hosts() []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hostAddresses
}

// sharing returns the holders of a budget. Before the list of members was read, this VM
// holds it with an unknown number of others.
func (p *peers) sharing(budget string) allowance.Sharing {
	vms := p.count()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.fleet) == 0 {
		return allowance.Sharing{Holds: true, Holders: min(vms, allowance.MaxHolders)}
	}
	known, found := p.sharingCache[budget]
	if !found {
		if len(p.sharingCache) >= maxCachedSharings {
			clear(p.sharingCache)
		}
		known = allowance.Share(p.self, budget, p.fleet)
		p.sharingCache[budget] = known
	}
	return known
}

// members returns the name of this VM and the list of members, which includes it and is
// empty before it was read. The caller must not change the list.
func (p *peers) members() (self string, all []allowance.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self.VM, p.fleet
}

// memberNames returns the names of the members, this VM included; none before they were read.
func (p *peers) memberNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, len(p.fleet))
	for i, m := range p.fleet {
		names[i] = m.VM
	}
	return names
}

// elects reports whether this VM is the one of the fleet that a key falls to.
func (p *peers) elects(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, len(p.fleet))
	for i, m := range p.fleet {
		names[i] = m.VM
	}
	return origin.Elects(key, p.self.VM, names)
}

// peerAddresses returns the addresses for calls to some VMs, without this one and those
// that are not known.
func (p *peers) peerAddresses(members []origin.Member) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for _, m := range members {
		if address, known := p.addresses[m.Name]; known {
			all = append(all, address)
		}
	}
	return all
}

// noticeAddresses is peerAddresses for datagrams.
func (p *peers) noticeAddresses(members []origin.Member) []netip.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []netip.Addr
	for _, m := range members {
		if address, known := p.hostByVM[m.Name]; known && m.Name != p.self.VM {
			all = append(all, address)
		}
	}
	return all
}

// count returns the number of VMs, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	others := len(p.addresses)
	if others == 0 {
		others = len(p.seeds)
	}
	return others + 1
}

// otherAddresses returns the addresses of all other processes.
func (p *peers) otherAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]string, 0, len(p.addresses))
	for _, address := range p.addresses {
		all = append(all, address)
	}
	return all
}

// lenders returns the addresses of the VMs that have a part of an upstream's slots, without
// those that are not known. Before the list of members was read any VM may have one.
func (p *peers) lenders(holders []string) []string {
	if _, members := p.members(); len(members) == 0 {
		return p.randomAddresses(maxLenders)
	}
	return p.addressesOf(holders)
}

func (p *peers) addressesOf(vms []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]string, 0, len(vms))
	for _, vm := range vms {
		if address, known := p.addresses[vm]; known {
			all = append(all, address)
		}
	}
	return all
}

// randomAddresses returns up to n peers in random order.
func (p *peers) randomAddresses(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for _, address := range p.addresses {
		all = append(all, address)
	}
	if len(all) == 0 {
		for _, seed := range p.seeds {
			if seed != p.address {
				all = append(all, seed)
			}
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// run registers this VM in the list of members and reads the list periodically.
func (p *peers) run(ctx context.Context, incarnation string) {
	registered, era := false, int64(0)
	for reads := 0; ctx.Err() == nil; reads++ {
		if err := p.readMembers(ctx); err != nil {
			klog.Warningf("step=read_members result=failed err=%q", err.Error())
		} else if now := p.memberEra(); !registered || now > era {
			registered, era, reads = p.register(ctx, incarnation), now, 0
		}
		if _, members := p.members(); reads < firstMemberReads || !registered || len(members) == 0 {
			_ = pause.For(ctx, firstMemberInterval)
		} else {
			_ = pause.For(ctx, memberInterval)
		}
	}
}

func (p *peers) readMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	all, err := p.feed.All(ctx, memberSegment)
	if err != nil {
		return err
	}
	all.Changes = p.withLostMembers(all)
	addresses, rows := map[string]string{}, map[string]store.Row{}
	fleet := []allowance.Peer{p.self}
	var hosts []netip.Addr
	hostByVM := map[string]netip.Addr{}
	for _, change := range all.Changes {
		vm := change.Key[len(memberSegment)+1:]
		rows[vm] = change.Row
		var m member
		if err := msgpack.Unmarshal(change.Value, &m); err != nil {
			klog.Warningf("step=read_members vm=%s result=left_out err=%q", vm, err.Error())
			continue
		}
		if vm != p.self.VM {
			addresses[vm] = m.Address
			if at, err := netip.ParseAddrPort(m.Address); err == nil {
				hosts = append(hosts, at.Addr())
				hostByVM[vm] = at.Addr()
			} else {
				klog.Warningf("step=read_members vm=%s result=no_notices err=%q", vm, err.Error())
			}
			fleet = append(fleet, allowance.Peer{VM: vm, DataCentre: m.DataCentre, Strength: m.Strength})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses, p.rows, p.hostAddresses, p.hostByVM = addresses, rows, hosts, hostByVM
	if len(all.Changes) > 0 && !slices.Equal(fleet, p.fleet) {
		p.fleet = fleet
		clear(p.sharingCache)
	}
	return nil
}

// memberEra returns the era in which the list of members was last read.
func (p *peers) memberEra() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// register writes this VM's row. If the response is lost, it is repeated after the next
// read of the list.
func (p *peers) register(ctx context.Context, incarnation string) bool {
	p.mu.Lock()
	row := p.rows[p.self.VM]
	p.mu.Unlock()
	data, err := msgpack.Marshal(member{
		Address: p.address, Incarnation: incarnation, DataCentre: p.self.DataCentre, Strength: p.self.Strength,
	})
	if err != nil {
		klog.Errorf("step=enter_members result=failed err=%q", err.Error())
		return false
	}
	return p.write(ctx, store.Row{Version: row.Version}, store.Write{Key: p.key(), Value: data})
}

func (p *peers) key() string { return memberSegment + "/" + p.self.VM }

func (p *peers) write(ctx context.Context, row store.Row, w store.Write) bool {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	_, err := p.table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: p.key(), Version: row.Version}},
		Writes:     []store.Write{w},
	})
	if err != nil {
		klog.Warningf("step=write_member result=failed err=%q", err.Error())
	}
	return err == nil
}

// deregister deletes this VM's row at a planned stop.
func (p *peers) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	rows, err := p.table.Read(ctx, p.key())
	if err != nil {
		klog.Warningf("step=leave_members result=failed err=%q", err.Error())
		return
	}
	if rows[0].Version > 0 {
		p.write(ctx, rows[0], store.Write{Key: p.key(), Delete: true})
	}
}

// serve answers peers from this process's mirrors.
func (p *peers) serve(server *peer.Server, mirrors map[string]*mirror.Mirror) {
	server.Handle(methodSince, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var request sinceRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		m := mirrors[request.Segment]
		if m == nil || m.Version() == 0 {
			return mirror.Update{}, nil
		}
		return m.Since(request.Version), nil
	})
}

// pollPeers polls a few peers at an interval while the table has not answered for a while.
func (p *peers) pollPeers(ctx context.Context, f *follower, interval time.Duration) {
	for ctx.Err() == nil {
		_ = pause.For(ctx, interval)
		if age, known := f.sinceAnswer(); known && age < f.currentWait()+peerPollDelay {
			continue
		}
		for _, address := range p.randomAddresses(peersPerPoll) {
			p.pollPeer(ctx, address, f)
		}
	}
}

func (p *peers) pollPeer(ctx context.Context, address string, f *follower) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var update mirror.Update
	err := p.client.Call(ctx, address, methodSince, sinceRequest{Segment: f.segment, Version: f.mirror.Version()}, &update)
	if err != nil {
		klog.V(1).Infof("step=ask_peer peer=%s segment=%s result=failed err=%q", address, f.segment, err.Error())
		return
	}
	if update.Version > 0 {
		f.applyUpdate(update)
	}
}
