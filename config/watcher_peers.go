package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of the recent steps that are kept for peers. A peer that is further behind
// gets the full document.
const (
	maxRecentSteps = 64
	maxRecentBytes = 256 << 10
)

// keepRecentSteps adds steps to the recent ones and drops those above the limits.
// The caller holds w.mu.
func (w *Watcher) keepRecentSteps(steps []Step) {
	if steps[0].From == 0 {
		w.recent = nil
		steps = steps[1:]
	}
	w.recent = append(w.recent, steps...)
	size := 0
	for i := len(w.recent) - 1; i >= 0; i-- {
		size += len(w.recent[i].Data)
		if size > maxRecentBytes || len(w.recent)-i > maxRecentSteps {
			w.recent = append([]Step(nil), w.recent[i+1:]...)
			return
		}
	}
}

// Head implements Fetcher for requests of peers.
func (w *Watcher) Head(context.Context) (Head, error) { return w.State().Head, nil }

// Since implements Fetcher for requests of peers.
func (w *Watcher) Since(_ context.Context, from Version) ([]Step, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.Version <= from {
		return nil, nil
	}
	for i, step := range w.recent {
		if step.From == from && from > 0 {
			return w.recent[i:], nil
		}
	}
	if w.fullStep == nil {
		packed, err := Diff(Image{}, w.state.Image).Pack()
		if err != nil {
			return nil, err
		}
		w.fullStep = &Step{To: w.state.Version, Digest: w.state.Digest, Data: packed}
	}
	return []Step{*w.fullStep}, nil
}

// pollPeers polls peers while the table does not respond or no version is in force.
// Otherwise it makes no calls.
func (w *Watcher) pollPeers(ctx context.Context) {
	fanout := peerFanout
	if w.Holder.Load() == nil {
		fanout = startupFanout
	} else if w.tableResponds() {
		return
	}
	peers := sample(w.options.Peers(), fanout)
	best, version, err := w.highestPeer(ctx, peers)
	if best != nil {
		err = w.catchUp(ctx, best, version)
	}
	if err != nil {
		w.Counters.PeerErrors.Add(1)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failure.peers = err
}

// tableResponds reports whether the last poll of the table succeeded within two
// intervals.
func (w *Watcher) tableResponds() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failure.table == nil && time.Since(w.lastTableResponse) < 2*w.options.Interval
}

// highestPeer polls all peers concurrently and returns the one with the highest
// version. The error states why there is none.
func (w *Watcher) highestPeer(ctx context.Context, peers []Peer) (best Peer, version Version, err error) {
	heads := make([]Head, len(peers))
	errs := make([]error, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() {
			w.Counters.PeerPolls.Add(1)
			head, err := w.head(ctx, peer)
			heads[i], errs[i] = head, eris.Wrapf(err, "ask %s", peer.Name())
		})
	}
	wg.Wait()
	for i, head := range heads {
		if errs[i] == nil && head.Version > version {
			best, version = peers[i], head.Version
		}
	}
	if best == nil {
		err = errors.Join(eris.Errorf("%d asked, none holds a version", len(peers)), errors.Join(errs...))
	}
	return best, version, err
}

// HandleOffer queues the offer of a version by a peer. It never blocks: if the queue
// is full, the offer is dropped, and a later poll gets the version.
func (w *Watcher) HandleOffer(version Version, from Fetcher) {
	w.Counters.Offers.Add(1)
	if have, _ := w.currentVersion(); version <= have {
		return
	}
	select {
	case w.offers <- offer{version, from}:
	default:
	}
}

func (w *Watcher) processOffers(ctx context.Context) {
	defer w.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-w.offers:
			if err := w.catchUp(ctx, o.from, o.version); err != nil {
				w.Counters.PeerErrors.Add(1)
			}
		}
	}
}

// sendOffers offers a new version to a few random peers, which offer it to others in
// turn (gossip). All peers learn of it within a few rounds, and none sends more than
// peerFanout small messages.
func (w *Watcher) sendOffers(ctx context.Context, version Version) {
	defer w.wg.Done()
	for _, peer := range sample(w.options.Peers(), peerFanout) {
		ctx, cancel := context.WithTimeout(ctx, w.options.Timeout)
		if peer.Offer(ctx, version) != nil {
			w.Counters.OffersLost.Add(1)
		}
		cancel()
	}
}

func sample(peers []Peer, n int) []Peer {
	peers = append([]Peer(nil), peers...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
