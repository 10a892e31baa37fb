package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornridge/budget/allowance"
	"buckthornridge/config"
	"buckthornridge/relay"
)

// warmUpShare is the part of a cold upstream's rate that all routers use together. Their
// requests may coincide: in one second there can be up to twice as many.
const warmUpShare = 0.75

// coldUpstreams records until when upstreams are cold, by key.
type coldUpstreams map[string]time.Time

// extend records that an upstream is cold for some time from now. It never shortens the
// time: the end of an evacuation is known before the upstreams report that they are cold.
func (c coldUpstreams) extend(key string, remaining time.Duration) {
	if until := time.Now().Add(remaining); remaining > 0 && until.After(c[key]) {
		c[key] = until
	}
}

// limit returns the limit of this router's requests to an upstream, and forgets
// upstreams that are warm.
func (c coldUpstreams) limit(key string, u relay.Upstream, rate float64, self string, routers []allowance.Peer) config.WarmUp {
	until, cold := c[key]
	if !cold || rate <= 0 {
		return config.WarmUp{}
	}
	if time.Now().After(until) {
		delete(c, key)
		return config.WarmUp{}
	}
	return config.WarmUp{Until: until, Interval: warmUpInterval(self, routers, u.ID, rate)}
}

// warmUpInterval returns the least time between two requests of the router self to a cold
// upstream that bears a rate of requests a second, or 0 if the router sends it none. In a
// large fleet the parts of all routers would be less than one request a second, and the
// first requests of all would come at once, so that each cold upstream is used by a few
// routers only, chosen by rendezvous hashing. Without a list of routers it is used by
// none.
func warmUpInterval(self string, routers []allowance.Peer, upstream string, rate float64) time.Duration {
	rate *= warmUpShare
	users := min(len(routers), max(1, int(rate)))
	own, ahead := warmUpRank(upstream, self), 0
	for _, r := range routers {
		if r.VM != self && warmUpRank(upstream, r.VM) > own {
			ahead++
		}
	}
	if ahead >= users {
		return 0
	}
	return time.Duration(float64(users) / rate * float64(time.Second))
}

func warmUpRank(upstream, router string) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + router)
}
