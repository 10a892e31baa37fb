package edge

import (
	"time"

	"buckthornridge/config"
	"buckthornridge/ratelimit"
	"buckthornridge/relay"
)

// warmUpWindow is the time over which a cold upstream's requests are counted.
const warmUpWindow = time.Second

// coldUpstreams records until when upstreams are cold, by key.
type coldUpstreams map[string]time.Time

// extend records that an upstream is cold for some time from now. It never shortens the
// time: the end of an evacuation is known before the upstreams report that they are cold.
func (c coldUpstreams) extend(key string, remaining time.Duration) {
	if until := time.Now().Add(remaining); remaining > 0 && until.After(c[key]) {
		c[key] = until
	}
}

// limit returns the limit of this router's requests to an upstream that bears a rate of
// requests a second while it is cold, and forgets upstreams that are warm.
func (c coldUpstreams) limit(key string, u relay.Upstream, rate float64, routers *ratelimit.Routers) config.WarmUp {
	until, cold := c[key]
	if !cold || rate <= 0 {
		return config.WarmUp{}
	}
	if time.Now().After(until) {
		delete(c, key)
		return config.WarmUp{}
	}
	return config.WarmUp{Until: until, Interval: routers.Interval(u.ID, ratelimit.Rate{PerSecond: rate, Window: warmUpWindow})}
}
