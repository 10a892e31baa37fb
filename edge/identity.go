package edge

import (
	"sync"
	"time"

	"buckthornridge/relay"
	"buckthornridge/upstream/exchange"
)

// identities decides which connections to upstreams must be asked for their process before
// a stream depends on it. The list of upstreams names the process of each, but an upstream
// may restart under its id and the list tells that only later, or not while the table is
// away. Connections that were opened while nothing pointed to a restart are trusted, since
// asking all of them would cost a call for each.
type identities struct {
	question string // Protocol.ProcessQuestion; empty: upstreams can't be asked
	read     func(status int, body []byte) (process int64, ok bool)
	// staleSince returns since when the list of upstreams may be behind, if it may.
	staleSince func() (time.Time, bool)
	// several reports whether upstreams of several versions serve, or lately did.
	several func(service string) bool

	mu     sync.Mutex
	doubts map[string]doubt // by upstream
}

// doubt is a sign that a process may have ended.
type doubt struct {
	process int64 // relay.Upstream.Start
	since   time.Time
}

// suspect records that a connection to an upstream failed or was closed unexpectedly.
func (i *identities) suspect(id string, process int64, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if d, known := i.doubts[id]; !known || d.process != process {
		i.doubts[id] = doubt{process, now}
	}
}

// confirm records that a process lives.
func (i *identities) confirm(id string, process int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.doubts[id].process == process {
		delete(i.doubts, id)
	}
}

// retain removes the doubts about upstreams that are not listed.
func (i *identities) retain(listed map[string]relay.Upstream) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id, d := range i.doubts {
		if u, known := listed[id]; !known || u.Start != d.process {
			delete(i.doubts, id)
		}
	}
}

// identification returns the question that a request's connection must answer; nil if
// none.
func (i *identities) identification(u relay.Upstream, certainty relay.Identify, process int64) *exchange.Identification {
	if i.question == "" || certainty == relay.AnyProcess {
		return nil
	}
	q := &exchange.Identification{Target: i.question, Read: i.read}
	if certainty == relay.OnlyProcess {
		q.Process = process
		return q
	}
	since, uncertain := i.uncertainSince(u)
	if !uncertain {
		return nil
	}
	q.OpenedSince = since
	return q
}

// anyConnection returns the question which process of an upstream any new connection leads
// to; nil if it can't be asked, or if the listed process is not known.
func (i *identities) anyConnection(u relay.Upstream) *exchange.Identification {
	if i.question == "" || u.Start == 0 {
		return nil
	}
	return &exchange.Identification{Target: i.question, Read: i.read}
}

// uncertainSince returns since when a new connection to the upstream may lead to another
// process than the listed one, if it may.
func (i *identities) uncertainSince(u relay.Upstream) (since time.Time, uncertain bool) {
	if i.several(u.Service) {
		return time.Time{}, true
	}
	since, uncertain = i.staleSince()
	i.mu.Lock()
	defer i.mu.Unlock()
	d, doubted := i.doubts[u.ID]
	if doubted && d.process == u.Start && (!uncertain || d.since.Before(since)) {
		return d.since, true
	}
	return since, uncertain
}

// processOf returns the process that answered a request; 0 if it is not known.
func (i *identities) processOf(u relay.Upstream, r *exchange.Response) int64 {
	switch {
	case r.Process != 0:
		if r.Process == u.Start {
			i.confirm(u.ID, u.Start)
		}
		return r.Process
	case r.Unidentified:
		return 0
	}
	return u.Start
}
