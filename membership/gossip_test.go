package membership

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/store"
)

// measure enables the measurements for docs/design/membership.md, which take
// minutes.
var measure = flag.Bool("measure", false, "measure gossip with 9, 100 and 340 processes")

// measurement holds the results for a fleet of one size in virtual time.
type measurement struct {
	sentMean, sentMax float64       // bytes per second of one process
	listLeaving       time.Duration // until all know from the list that an upstream is leaving
	listReadsMean     float64       // reads of the list per second of one process
	leaving, joined   time.Duration
	suspected, dead   time.Duration
	hanging           time.Duration // until a hanging process is dead at all others
	falselySuspected  int           // how often a view showed a live process as suspected or worse
	falselyDead       int
	stateReads        int // states of members in views that were counted
}

// measureFleet measures a fleet: first without changes, then one process leaves, one
// joins, one is killed and one hangs.
func measureFleet(t *testing.T, size int, quiet time.Duration) (c measurement) {
	f := newFleet(t)
	defer f.stopAll()
	nodes := f.startAll(size)
	f.setList([]store.VM{{ID: "orders-1", Incarnation: "1", Role: "service", State: store.VMLive}})
	time.Sleep(10 * time.Second)
	c.observe(nodes, quiet)
	for _, n := range nodes {
		c.listReadsMean += float64(n.listReads.Load()) / float64(size) / (quiet + 10*time.Second).Seconds()
	}
	const limit = time.Minute
	f.setList([]store.VM{{ID: "orders-1", Incarnation: "1", Role: "service", State: store.VMLeaving}})
	c.listLeaving = timeUntil(nodes, limit, func(n *node) bool { return n.state("orders-1") == Leaving })
	nodes[1].tracker.Leave()
	c.leaving = timeUntil(nodes, limit, func(n *node) bool { return n.state("vm-001") == Leaving })
	f.start(vmOf(size), vmsOf(size))
	c.joined = timeUntil(nodes, limit, func(n *node) bool { return n.state(vmOf(size).ID) == Live && n.knows(vmOf(size).ID) })
	nodes[2].kill()
	c.suspected = timeUntil(nodes, limit, func(n *node) bool { return n.state("vm-002") >= Suspected })
	c.dead = c.suspected + timeUntil(nodes, limit, func(n *node) bool { return n.state("vm-002") == Dead })
	nodes[0].hang()
	c.hanging = timeUntil(nodes, limit, func(n *node) bool { return n.state("vm-000") == Dead })
	return c
}

// observe counts what a fleet sends and how often a view shows a live process in
// another state.
func (c *measurement) observe(nodes []*node, quiet time.Duration) {
	before := make([]int64, len(nodes))
	for i, n := range nodes {
		before[i] = n.sent.Load()
	}
	for range int(quiet / time.Second) {
		time.Sleep(time.Second)
		c.countStates(nodes)
	}
	for i, n := range nodes {
		rate := float64(n.sent.Load()-before[i]) / quiet.Seconds()
		c.sentMean += rate / float64(len(nodes))
		c.sentMax = max(c.sentMax, rate)
	}
}

// measureBrokenLink measures a fleet in which two neighbours can't reach each other.
func measureBrokenLink(t *testing.T, size int, quiet time.Duration) (c measurement) {
	f := newFleet(t)
	defer f.stopAll()
	nodes := f.startAll(size)
	time.Sleep(10 * time.Second)
	neighbour, err := f.lookup(nodes[0], nodes[0].tracker.Neighbours(1)[0].PeerAddress)
	if err != nil {
		t.Error(err)
	}
	f.setPartitioned(nodes[0], neighbour, true)
	c.observe(nodes, quiet)
	return c
}

func (n *node) knows(id string) bool {
	_, known := n.tracker.View().Load().Members[id]
	return known
}

func (c *measurement) countStates(nodes []*node) {
	for _, n := range nodes {
		for _, member := range n.tracker.View().Load().Members {
			c.stateReads++
			if member.State != Live {
				c.falselySuspected++
			}
			if member.State == Dead {
				c.falselyDead++
			}
		}
	}
}

// A leaving process gets requests until all routers know that it leaves, and a dead
// one costs each caller a failed attempt. The VM list lags too much to report either
// in time, so gossip must.
func TestFleetConverges(t *testing.T) {
	for _, size := range []int{2, 9, 40} {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := measureFleet(t, max(size, 3), 10*time.Second)
			is.True(c.listLeaving < 6*time.Second)
			is.True(c.leaving < 2*time.Second)
			is.True(c.joined < 2*time.Second)
			is.True(c.dead < 12*time.Second)
			is.True(c.hanging < 12*time.Second)
			// Without reports of failed calls this takes at least Limits.Dead.
			is.True(size > 9 || c.hanging < DefaultLimits().Dead)
			is.Equal(c.falselySuspected, 0)
			is.True(c.sentMax < 30_000)
		})
	}
}

// withFleet runs a test with a fleet in virtual time.
func withFleet(t *testing.T, test func(*is.I, *fleet)) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		test(is.New(t), f)
	})
}

// Two data centres are partitioned for a minute. Each side considers the other dead
// and continues alone; nothing reports the end of the partition. If a process sent
// messages only to members that are not dead, the partition would last for ever.
func TestHealedPartition(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		nodes := f.startAll(6)
		time.Sleep(5 * time.Second)
		f.partition(nodes[:3], nodes[3:], true)
		time.Sleep(time.Minute)
		is.Equal(nodes[0].state("vm-005"), Dead)
		is.Equal(nodes[5].state("vm-000"), Dead)
		is.Equal(nodes[0].state("vm-001"), Live)
		f.partition(nodes[:3], nodes[3:], false)
		all := func(n *node) bool { return n.count(Live) == 6 }
		is.True(timeUntil(nodes, 20*time.Second, all) < 20*time.Second)
	})
}

// The platform is down when a VM is replaced. The new process either has an old
// list that names one running process, or no list but a seed in its settings.
func TestNewProcessDuringPlatformOutage(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		nodes := f.startAll(9)
		nodes[4].tracker.Leave()
		time.Sleep(10 * time.Second)
		f.start(vmOf(9), []store.VM{vmOf(0)})
		f.start(vmOf(10), nil, vmOf(3).PeerAddress)
		for _, n := range f.nodes {
			nodes = append(nodes, n)
		}
		is.True(timeUntil(nodes, 20*time.Second, func(n *node) bool { return n.count(Live) == 10 }) < 5*time.Second)
		for _, n := range nodes {
			is.Equal(n.state("vm-004"), Leaving)
		}
	})
}

// Two processes can't call each other. The others reach both and forward the
// heartbeats of each. The two report their failed calls to all others again and
// again. This must make no member dead, and suspected at the others only in the rare
// seconds in which a heartbeat is late.
func TestBrokenLinkKeepsMembersLive(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := measureBrokenLink(t, 9, time.Minute)
		is.Equal(c.falselyDead, 0)
		const pairStates, otherStates = 2 * 60, 2 * 60 * 7
		is.True(c.falselySuspected <= pairStates+otherStates/50)
		is.True(c.sentMax < 2*1000)
	})
}

func TestMeasureGossip(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, size := range []int{9, 100, 340} {
		bubble.Test(t, func(t *testing.T) {
			c := measureFleet(t, size, time.Minute)
			t.Logf("%3d processes: sent %.0f B/s mean, %.0f max; upstream listed as leaving %v with %.3f list reads/s; leaving %v, joined %v, suspected %v, dead %v; hanging dead %v; false suspicions %d of %d",
				size, c.sentMean, c.sentMax, c.listLeaving, c.listReadsMean, c.leaving, c.joined, c.suspected, c.dead, c.hanging, c.falselySuspected, c.stateReads)
		})
		bubble.Test(t, func(t *testing.T) {
			c := measureBrokenLink(t, size, time.Minute)
			t.Logf("%3d processes, one broken link: sent %.0f B/s mean, %.0f max; false suspicions %d, deaths %d of %d",
				size, c.sentMean, c.sentMax, c.falselySuspected, c.falselyDead, c.stateReads)
		})
	}
}
