package routing

import "time"

// queuedPrefill is the part of an engine's backlog that belongs to a choice.
type queuedPrefill struct {
	prompt *pendingPrompt
	tokens int64 // to prefill
	// fetch is the expected time of the fetch of the shared prefix, reading that of reading it;
	// both are 0 without a fetch.
	fetch, reading time.Duration
	paced          bool // the request is a paced stream
}

// uncachedTokens returns the number of the request's prompt tokens that an upstream has to
// prefill.
func (v *view) uncachedTokens(e *entry) int64 {
	tokens := v.request.PromptTokens
	if v.hasSharedPrefix(e) {
		tokens -= v.request.SharedTokens
	}
	return max(tokens, 0)
}

// hasSharedPrefix reports whether an upstream likely caches the session's shared prefix. A
// prefix too short for notices is assumed to be at the session's first upstream on the
// ring.
func (v *view) hasSharedPrefix(e *entry) bool {
	if v.cachedAt != "" {
		return v.cachedAt == e.id
	}
	return !v.announcesSharedPrefix() && e == v.ringUpstream
}

// announcesSharedPrefix reports whether the prefill of the shared prefix alone is long
// enough for a notice to other routers: then the absence of a notice means that no engine
// caches it.
func (v *view) announcesSharedPrefix() bool {
	return v.prefillCost.prefillTime(v.request.SharedTokens) >= minNoticePrefill
}

// firstToken returns the predicted time to the request's first token at an upstream.
func (v *view) firstToken(e *entry) time.Duration {
	queueWait, factor := e.backlog.wait(v.now)
	return queueWait + time.Duration(factor*float64(v.prefillCost.prefillTime(v.uncachedTokens(e))))
}

// affinityUpstream returns the session's affinity upstream: the one that caches its shared
// prefix, else the first on the ring.
func (v *view) affinityUpstream(first *entry) *entry {
	if e := v.set.entries[v.cachedAt]; e != nil && e.serves(v.request.Target) && v.usable(e) && !v.gathers(e) {
		return e
	}
	return first
}

// staysAt reports whether a request goes to its session's affinity upstream, given the
// lowest predicted time to a first token among the candidates.
func (v *view) staysAt(affinity *entry, earliest time.Duration) bool {
	if v.saturated(affinity) || v.slow(affinity) || v.degraded(affinity) {
		return false
	}
	predicted := v.firstToken(affinity)
	if !v.hasSharedPrefix(affinity) {
		return predicted <= earliest // there is no cached prefix to lose
	}
	acceptable := time.Duration(targetShare * float64(v.request.TargetLatency))
	if earliest > acceptable {
		// Every engine has a queue. A repeated prefill lengthens the queues, which makes the
		// next session move as well, until the engines do little else.
		return true
	}
	return predicted <= max(acceptable, earliest+minMoveGain+v.moveCost(earliest))
}

// moveCost returns the added waiting time of other requests if the session's shared prefix
// is prefilled once more at the engine with the earliest first token: each prompt that is
// queued there, or arrives while there is a queue, waits for that prefill.
func (v *view) moveCost(earliest time.Duration) time.Duration {
	prefix := v.prefillCost.prefillTime(v.request.SharedTokens)
	typical := max(v.prefillCost.prefillTime(v.request.PromptTokens), time.Millisecond)
	queued := float64(max(0, earliest-typical)) / float64(typical)
	return time.Duration(evictionFactor * (1 + queued) * float64(prefix))
}

// evictionFactor accounts for the prefix of another session that the engine evicts and
// that has to be prefilled again, too.
const evictionFactor = 2

// queue adds the prompt to the chosen upstream's backlog and notifies other routers.
func (v *view) queue(e *entry) *queuedPrefill {
	if v.request.AffinityKey == 0 {
		return nil
	}
	tokens := v.uncachedTokens(e)
	queued := &queuedPrefill{paced: v.paced()}
	if fetch, fetches := v.fetchTime(e); fetches {
		tokens = max(tokens-v.fetchable, 0)
		queued.fetch, queued.reading = fetch, v.prefillCost.prefillTime(v.fetchable)
	}
	queued.tokens = tokens
	prefill := v.prefillCost.prefillTime(tokens)
	queued.prompt = e.backlog.add(v.now, prefill+queued.fetch, v.prefillCost.baseTime())
	v.recordParts(e)
	streams := v.table.streamsOf(v.request.Target)
	if queued.paced {
		streams.addOwn(1)
	}
	if notify := v.table.onDispatch.Load(); notify != nil && prefill >= minNoticePrefill {
		(*notify)(DispatchNotice{Upstream: e.id, Session: v.request.AffinityKey, Tokens: tokens, StreamReport: streams.report(v.now)}, prefill)
	}
	return queued
}
