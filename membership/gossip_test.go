package membership

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"buckthornridge/store"
)

// measure asks for the figures of docs/design/membership.md, which take minutes.
var measure = flag.Bool("measure", false, "measure gossip with 9, 100 and 340 processes")

// cost is what a fleet of one size showed in virtual time.
type cost struct {
	sentMean, sentMost float64       // bytes a second of one process
	listed             time.Duration // an upstream's leaving, from the list
	looksMean          float64       // at the list, a second, of one process
	leaving, born      time.Duration
	suspected, dead    time.Duration
	hung               time.Duration // until one that hangs is dead everywhere
	falselySuspected   int           // looks at a live process that showed it suspected or worse
	falselyDead        int
	looks              int
}

// run measures a fleet: quiet time, then one leaves, one is born, one dies.
func run(t *testing.T, size int, quiet time.Duration) (c cost) {
	f := newFleet(t)
	defer f.stopAll()
	nodes := f.startAll(size)
	f.setList([]store.VM{{ID: "orders-1", Incarnation: "1", Role: "service", State: store.VMLive}})
	time.Sleep(10 * time.Second)
	c.watch(nodes, quiet)
	for _, n := range nodes {
		c.looksMean += float64(n.looks.Load()) / float64(size) / (quiet + 10*time.Second).Seconds()
	}
	const limit = time.Minute
	f.setList([]store.VM{{ID: "orders-1", Incarnation: "1", Role: "service", State: store.VMLeaving}})
	c.listed = delay(nodes, limit, func(n *node) bool { return n.state("orders-1") == Leaving })
	nodes[1].tracker.Leave()
	c.leaving = delay(nodes, limit, func(n *node) bool { return n.state("vm-001") == Leaving })
	f.start(vmOf(size), vmsOf(size))
	c.born = delay(nodes, limit, func(n *node) bool { return n.state(vmOf(size).ID) == Live && n.knows(vmOf(size).ID) })
	nodes[2].kill()
	c.suspected = delay(nodes, limit, func(n *node) bool { return n.state("vm-002") >= Suspected })
	c.dead = c.suspected + delay(nodes, limit, func(n *node) bool { return n.state("vm-002") == Dead })
	nodes[0].hang()
	c.hung = delay(nodes, limit, func(n *node) bool { return n.state("vm-000") == Dead })
	return c
}

// watch counts what a fleet sends and how often a live process looks otherwise.
func (c *cost) watch(nodes []*node, quiet time.Duration) {
	before := make([]int64, len(nodes))
	for i, n := range nodes {
		before[i] = n.sent.Load()
	}
	for range int(quiet / time.Second) {
		time.Sleep(time.Second)
		c.look(nodes)
	}
	for i, n := range nodes {
		rate := float64(n.sent.Load()-before[i]) / quiet.Seconds()
		c.sentMean += rate / float64(len(nodes))
		c.sentMost = max(c.sentMost, rate)
	}
}

// brokenLink measures a fleet in which two neighbours can't call each other.
func brokenLink(t *testing.T, size int, quiet time.Duration) (c cost) {
	f := newFleet(t)
	defer f.stopAll()
	nodes := f.startAll(size)
	time.Sleep(10 * time.Second)
	neighbour, err := f.find(nodes[0], nodes[0].tracker.Neighbours(1)[0].PeerAddress)
	if err != nil {
		t.Error(err)
	}
	f.setCut(nodes[0], neighbour, true)
	c.watch(nodes, quiet)
	return c
}

func (n *node) knows(id string) bool {
	_, known := n.tracker.View().Load().Members[id]
	return known
}

func (c *cost) look(nodes []*node) {
	for _, n := range nodes {
		for _, member := range n.tracker.View().Load().Members {
			c.looks++
			if member.State != Live {
				c.falselySuspected++
			}
			if member.State == Dead {
				c.falselyDead++
			}
		}
	}
}

// A process that leaves gets requests for as long as one router has not heard of
// it; one that died costs each caller a failed try. The VM list lags too much to
// tell either in time.
func TestFleetHearsOfEachOther(t *testing.T) {
	for _, size := range []int{2, 9, 40} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := run(t, max(size, 3), 10*time.Second)
			is.True(c.listed < 6*time.Second)
			is.True(c.leaving < 2*time.Second)
			is.True(c.born < 2*time.Second)
			is.True(c.dead < 12*time.Second)
			is.True(c.hung < 12*time.Second)
			// By silence alone it would take all of Limits.Dead.
			is.True(size > 9 || c.hung < DefaultLimits().Dead)
			is.Equal(c.falselySuspected, 0)
			is.True(c.sentMost < 30_000)
		})
	}
}

// withFleet runs a test on a fleet in virtual time.
func withFleet(t *testing.T, test func(*is.I, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		test(is.New(t), f)
	})
}

// Two data centres lose each other for a minute. Each side calls the other dead
// and goes on alone; nobody tells them when the cut has healed. If the sides only
// pushed to those they hold alive, they would stay apart for good.
func TestHealedCut(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		nodes := f.startAll(6)
		time.Sleep(5 * time.Second)
		f.divide(nodes[:3], nodes[3:], true)
		time.Sleep(time.Minute)
		is.Equal(nodes[0].state("vm-005"), Dead)
		is.Equal(nodes[5].state("vm-000"), Dead)
		is.Equal(nodes[0].state("vm-001"), Live)
		f.divide(nodes[:3], nodes[3:], false)
		all := func(n *node) bool { return n.count(Live) == 6 }
		is.True(delay(nodes, 20*time.Second, all) < 20*time.Second)
	})
}

// The platform is down when a VM is replaced: the new process got an old list,
// which names one process that still runs, or none but has one in its settings.
func TestFreshProcessInAnOutage(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		nodes := f.startAll(9)
		nodes[4].tracker.Leave()
		time.Sleep(10 * time.Second)
		f.start(vmOf(9), []store.VM{vmOf(0)})
		f.start(vmOf(10), nil, vmOf(3).PeerAddress)
		for _, n := range f.nodes {
			nodes = append(nodes, n)
		}
		is.True(delay(nodes, 20*time.Second, func(n *node) bool { return n.count(Live) == 10 }) < 5*time.Second)
		for _, n := range nodes {
			is.Equal(n.state("vm-004"), Leaving)
		}
	})
}

// Two processes can't call each other; the rest can reach both, and each one's
// heartbeats arrive over the rest. The two tell everybody of their failed calls
// again and again: that must make nobody dead, and suspected to the rest only in
// the rare seconds in which a heartbeat comes late.
func TestOneBrokenLinkMakesNobodyDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := brokenLink(t, 9, time.Minute)
		is.Equal(c.falselyDead, 0)
		const toEachOther, toTheRest = 2 * 60, 2 * 60 * 7
		is.True(c.falselySuspected <= toEachOther+toTheRest/50)
		is.True(c.sentMost < 2*1000)
	})
}

func TestMeasureGossip(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, size := range []int{9, 100, 340} {
		synctest.Test(t, func(t *testing.T) {
			c := run(t, size, time.Minute)
			t.Logf("%3d processes: sent %.0f B/s mean, %.0f most; upstream listed as leaving %v with %.3f looks/s; leaving %v, born %v, suspected %v, dead %v; hung dead %v; false suspicions %d of %d",
				size, c.sentMean, c.sentMost, c.listed, c.looksMean, c.leaving, c.born, c.suspected, c.dead, c.hung, c.falselySuspected, c.looks)
		})
		synctest.Test(t, func(t *testing.T) {
			c := brokenLink(t, size, time.Minute)
			t.Logf("%3d processes, one broken link: sent %.0f B/s mean, %.0f most; false suspicions %d, deaths %d of %d",
				size, c.sentMean, c.sentMost, c.falselySuspected, c.falselyDead, c.looks)
		})
	}
}
