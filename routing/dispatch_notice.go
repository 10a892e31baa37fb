package routing

import (
	"sync"
	"time"
)

// DispatchNotice informs other routers that a prompt was dispatched to an engine.
type DispatchNotice struct {
	Upstream string `msgpack:"u"`
	// Session is Request.AffinityKey.
	Session uint64 `msgpack:"s"`
	// Tokens is the number of tokens to prefill, without cached ones.
	Tokens int64 `msgpack:"t"`
	// StreamReport is of the router's paced streams of the engine's service.
	StreamReport `msgpack:",inline"`
	// Router is who sent the notice; the receiver sets it.
	Router string `msgpack:"-"`
}

// minNoticePrefill is the shortest prefill that other routers are notified of. Shorter
// ones delay other requests little, and there are many of them.
const minNoticePrefill = 20 * time.Millisecond

// OnDispatch sets a function that is called for each prompt with a long prefill, with the
// duration of that prefill. It must not block.
func (t *Table) OnDispatch(f func(DispatchNotice, time.Duration)) { t.onDispatch.Store(&f) }

// ObserveDispatch applies another router's notice. Notices may be lost or late: then the
// engine looks less busy than it is, as all engines do without notices.
func (t *Table) ObserveDispatch(p DispatchNotice) {
	e := t.current.Load().entries[p.Upstream]
	if e == nil || p.Tokens <= 0 {
		return
	}
	now, target := t.now(), Target{Service: e.service}
	e.backlog.addRemote(now, t.prefillCostOf(target).prefillTime(p.Tokens))
	t.streamsOf(target).learn(p.Router, p.StreamReport, now)
	t.sessions.record(p.Session, p.Upstream, now)
}

// prefillCostOf returns the learned prefill costs of a target's engines.
func (t *Table) prefillCostOf(target Target) *prefillCostModel {
	if known, ok := t.prefillCosts.Load(target); ok {
		return known.(*prefillCostModel)
	}
	kept, _ := t.prefillCosts.LoadOrStore(target, new(prefillCostModel))
	return kept.(*prefillCostModel)
}

// sessionIndex records which engine last prefilled the shared prefix of each session.
type sessionIndex struct {
	mu    sync.Mutex
	known map[uint64]sessionUpstream
}

type sessionUpstream struct {
	upstream string
	at       time.Duration // since the table's start
}

const (
	// sessionTTL is how long an engine is assumed to cache a session's shared prefix after
	// its last use. An engine with memory for 400,000 tokens that is busy a third of the
	// time prefills as many in about 20 s.
	sessionTTL = 60 * time.Second
	// maxSessions bounds the number of recorded sessions, about 60 bytes each.
	maxSessions = 16384
)

func (s *sessionIndex) record(session uint64, upstream string, now time.Duration) {
	if session == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil || len(s.known) >= maxSessions {
		s.evictOld(now)
	}
	s.known[session] = sessionUpstream{upstream, now}
}

// evictOld removes expired sessions, or all if that does not free enough entries.
func (s *sessionIndex) evictOld(now time.Duration) {
	kept := map[uint64]sessionUpstream{}
	for session, p := range s.known {
		if now-p.at < sessionTTL && len(s.known) < 2*maxSessions {
			kept[session] = p
		}
	}
	if len(kept) >= maxSessions {
		clear(kept)
	}
	s.known = kept
}

// find returns the engine that likely caches a session's shared prefix, or "".
func (s *sessionIndex) find(session uint64, now time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known := s.known[session]
	if !known || now-p.at > sessionTTL {
		return ""
	}
	return p.upstream
}
