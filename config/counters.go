package config

import "expvar"

// WatcherCounters counts the operations of a Watcher since its start.
type WatcherCounters struct {
	Version      expvar.Int // version in force
	Advances     expvar.Int // versions published, without skipped ones
	TablePolls   expvar.Int
	TableErrors  expvar.Int
	PeerPolls    expvar.Int // head requests to peers
	PeerErrors   expvar.Int // polls of peers and offers that failed
	Offers       expvar.Int // offers received from peers
	OffersLost   expvar.Int // own offers that a peer did not receive
	StaleHeads   expvar.Int // heads below the version in force, which are ignored
	CorruptSteps expvar.Int // steps that could not be applied or compiled
}

// Map returns the counters under their published names.
func (c *WatcherCounters) Map() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("version", &c.Version)
	m.Set("advances", &c.Advances)
	m.Set("table_polls", &c.TablePolls)
	m.Set("table_errors", &c.TableErrors)
	m.Set("peer_polls", &c.PeerPolls)
	m.Set("peer_errors", &c.PeerErrors)
	m.Set("offers", &c.Offers)
	m.Set("offers_lost", &c.OffersLost)
	m.Set("behind", &c.StaleHeads)
	m.Set("corrupt", &c.CorruptSteps)
	return m
}
