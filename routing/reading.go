package routing

import "time"

// reading is what a choice adds to an engine's backlog.
type reading struct {
	own    *expected
	tokens int64 // to be read
}

// unread returns the tokens of the request's prompt that an upstream has to read.
func (v *view) unread(e *entry) int64 {
	tokens := v.request.PromptTokens
	if v.keepsParts(e) {
		tokens -= v.request.SharedTokens
	}
	return max(tokens, 0)
}

// keepsParts reports whether an upstream likely keeps the session's shared parts. Short
// ones, which nobody is told of, are taken to be where they belong.
func (v *view) keepsParts(e *entry) bool {
	if v.keeps != "" {
		return v.keeps == e.id
	}
	return !v.tellsOfParts() && e == v.ringHome
}

// tellsOfParts reports whether the reading of the shared parts alone is told to other
// routers: then no word of them means that no engine keeps them.
func (v *view) tellsOfParts() bool { return v.cost.time(v.request.SharedTokens) >= noticeTime }

// firstToken returns how long the request waits for its first token at an upstream.
func (v *view) firstToken(e *entry) time.Duration {
	waits, pace := e.backlog.wait(v.now)
	return waits + time.Duration(pace*float64(v.cost.time(v.unread(e))))
}

// sessionPlace returns the upstream that keeps the session's parts, else the first on
// the ring.
func (v *view) sessionPlace(first *entry) *entry {
	if e := v.set.entries[v.keeps]; e != nil && e.serves(v.request.Target) && v.usable(e) {
		return e
	}
	return first
}

// stays reports whether a request goes to its session's place, given how soon the best
// of the others has its first token.
func (v *view) stays(place *entry, soonest time.Duration) bool {
	if v.crowded(place) || v.slow(place) || v.sick(place) {
		return false
	}
	after := v.firstToken(place)
	if !v.keepsParts(place) {
		return after <= soonest // nothing is lost elsewhere
	}
	return after <= max(time.Duration(stayShare*float64(v.request.Aim)), soonest+stayLeast)
}

// place counts the prompt at the chosen upstream and tells of it.
func (v *view) place(e *entry) *reading {
	if v.request.Home == 0 {
		return nil
	}
	tokens := v.unread(e)
	takes := v.cost.time(tokens)
	own := e.backlog.add(v.now, takes, v.cost.baseTime())
	if v.tellsOfParts() {
		v.table.sessions.note(v.request.Home, e.id, v.now)
	}
	if tell := v.table.placed.Load(); tell != nil && takes >= noticeTime {
		(*tell)(Placed{Upstream: e.id, Session: v.request.Home, Tokens: tokens}, takes)
	}
	return &reading{own: own, tokens: tokens}
}
