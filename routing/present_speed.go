package routing

import (
	"math"
	"sync"
	"time"
)

// Parameters of the present speed of engines.
const (
	speedWeight = 0.3
	// speedHalfLife is the time in which a factor that nothing confirms is half forgotten:
	// engines turn slow and fast again within a second.
	speedHalfLife = 300 * time.Millisecond
	minSlowdown   = 0.5
	maxSlowdown   = 8.0
	// toldSlowdown is the factor from which other routers are told, at most every
	// speedNoticeInterval.
	toldSlowdown        = 1.6
	speedNoticeInterval = 200 * time.Millisecond
	// gapStep moves the typical gap of a target's engines towards a median.
	gapStep = 0.01
)

// presentSpeed is the present speed of an engine: how much longer than usual the gaps between the
// events of its streams are.
type presentSpeed struct {
	mu     sync.Mutex
	factor float64 // 0 stands for 1
	at     time.Duration
	// toldAt is when this router or another one last told of it.
	toldAt time.Duration
}

func (p *presentSpeed) levelAt(now time.Duration) float64 {
	if p.factor == 0 {
		return 1
	}
	return 1 + (p.factor-1)*math.Exp2(-float64(now-p.at)/float64(speedHalfLife))
}

// observe adds the ratio of a gap to the typical one, and reports whether other routers
// should be told.
func (p *presentSpeed) observe(now time.Duration, ratio float64) (factor float64, tell bool) {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	p.mu.Lock()
	defer p.mu.Unlock()
	level := p.levelAt(now)
	p.factor, p.at = level+speedWeight*(ratio-level), now
	if p.factor < toldSlowdown || now-p.toldAt < speedNoticeInterval {
		return p.factor, false
	}
	p.toldAt = now
	return p.factor, true
}

// learn takes over what another router has observed.
func (p *presentSpeed) learn(now time.Duration, factor float64) {
	if math.IsNaN(factor) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.factor, p.at, p.toldAt = max(p.levelAt(now), min(factor, maxSlowdown)), now, now
}

// load returns the factor, at least 1: a fast moment is no promise.
func (p *presentSpeed) load(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(1, p.levelAt(now))
}

// SpeedNotice tells other routers that an engine is slow at present.
type SpeedNotice struct {
	Upstream string  `msgpack:"u"`
	Factor   float64 `msgpack:"f"`
}

// OnSlow sets a function that is called for engines that turn slow. It must not block.
func (t *Table) OnSlow(f func(SpeedNotice)) { t.onSlow.Store(&f) }

// ObserveSpeed applies another router's notice.
func (t *Table) ObserveSpeed(n SpeedNotice) {
	if e := t.current.Load().entries[n.Upstream]; e != nil {
		e.speed.learn(t.now(), n.Factor)
	}
}

// Gap records the time between two events of the choice's stream.
func (c *Choice) Gap(gap time.Duration) {
	if c.prefillCost == nil || gap <= 0 {
		return
	}
	if c.pauseTarget > 0 && gap > c.pauseTarget {
		c.paused.Store(true)
	}
	now := c.table.now()
	if wait, _ := c.entry.backlog.wait(now - gap); wait > 0 {
		return // a prompt that was read in between explains the gap
	}
	typical := c.prefillCost.observeGap(gap)
	factor, tell := c.entry.speed.observe(now, float64(gap)/float64(typical))
	if notify := c.table.onSlow.Load(); tell && notify != nil {
		(*notify)(SpeedNotice{Upstream: c.entry.id, Factor: factor})
	}
}

// observeGap follows the median gap between two events of the target's streams.
func (c *prefillCostModel) observeGap(gap time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.gap == 0:
		c.gap = gap
	case gap > c.gap:
		c.gap += time.Duration(gapStep * float64(c.gap))
	default:
		c.gap -= time.Duration(gapStep * float64(c.gap))
	}
	return max(c.gap, time.Microsecond)
}
