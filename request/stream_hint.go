package request

import (
	"context"
	"sync"
	"time"

	"buckthornridge/peer"
)

// methodHint is the peer method that sends a StreamHint to another router.
const methodHint = "request.note"

// Limits of the hints that a router keeps for other routers' requests.
const (
	maxHints    = 1 << 14
	hintTTL     = time.Minute
	hintTimeout = time.Second
)

// StreamHint tells another router where a request's engine stream runs. If the
// preferred router fails and the caller's connection with it, the caller's retry
// reaches the next preferred router, which resumes the stream instead of executing
// the request again. A lost hint costs a second execution but violates no
// guarantee.
type StreamHint struct {
	Key    Key    `msgpack:"k"`
	Digest Digest `msgpack:"d"`
	Hint   Hint   `msgpack:"h"`
}

// hintCache holds the hints received from other routers and evicts the oldest
// first.
type hintCache struct {
	mu    sync.Mutex
	byKey map[Key]cachedHint
	order []Key
}

type cachedHint struct {
	hint       StreamHint
	receivedAt time.Time
}

func newHintCache() *hintCache { return &hintCache{byKey: map[Key]cachedHint{}} }

// put stores a hint and replaces an earlier one for the same key.
func (n *hintCache) put(hint StreamHint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.byKey[hint.Key]; !known {
		n.order = append(n.order, hint.Key)
	}
	n.byKey[hint.Key] = cachedHint{hint: hint, receivedAt: time.Now()}
	for len(n.order) > 0 && n.expired(n.order[0]) {
		delete(n.byKey, n.order[0])
		n.order = n.order[1:]
	}
}

// expired reports whether the oldest hint is to be evicted.
func (n *hintCache) expired(oldest Key) bool {
	return len(n.order) > maxHints || time.Since(n.byKey[oldest].receivedAt) > hintTTL
}

// lookup returns the last known location of the request's stream, or nil.
func (n *hintCache) lookup(r *Request) *Hint {
	n.mu.Lock()
	defer n.mu.Unlock()
	kept, known := n.byKey[r.Key]
	if !known || kept.hint.Digest != r.Digest {
		return nil
	}
	return &kept.hint.Hint
}

// sendHint sends the stream's location to the router that is preferred for the
// request after this one. It does so only for a caller that chose its key, since
// others cannot retry with it.
func (f *Frontend) sendHint(r *Request, h Hint) {
	if !r.CallerKey {
		return
	}
	for _, member := range PreferredRouters(f.View(), f.Region, r, f.Busy(r)) {
		if member.ID == f.Self {
			continue
		}
		f.Executor.spawn(func() {
			ctx, cancel := context.WithTimeout(f.Executor.baseCtx, hintTimeout)
			defer cancel()
			// A lost hint is harmless; see StreamHint.
			_ = f.Peers.Push(ctx, member.PeerAddress, methodHint, StreamHint{Key: r.Key, Digest: r.Digest, Hint: h})
		})
		return
	}
}

// registerHints serves hints sent by other routers.
func (f *Frontend) registerHints(s *peer.Server) {
	s.Handle(methodHint, func(_ context.Context, decode func(any) error, _ peer.Sender) (any, error) {
		var hint StreamHint
		if err := decode(&hint); err != nil {
			return nil, err
		}
		f.Executor.hints.put(hint)
		return nil, nil
	})
}
