package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/budget/allowance"
	"buckthornridge/pause"
	"buckthornridge/peer"
	"buckthornridge/store/mirror"
)

// In a large fleet each VM asks another one, a few times a second, which versions of the
// followed segments it has. A VM whose own feed has stalled without a reset learns of a change
// from it, so that a poll of the feed may stay open for longer and calls to the table become
// fewer. While no VM answers, the wait is as in a small fleet.

const (
	// methodCompare asks a peer for the versions of its mirrors.
	methodCompare = "mirror.versions"
	// versionInterval is the time between two questions.
	versionInterval = 500 * time.Millisecond
	// versionTimeout bounds one question.
	versionTimeout = 400 * time.Millisecond
	// versionTTL is how long an answer allows the longer wait.
	versionTTL = 1500 * time.Millisecond
	// longFeedShare is the part of the allowed activation time of a change for which a poll
	// stays open then, maxLongWait the longest.
	longFeedShare = 2.0 / 3
	maxLongWait   = 2 * time.Second
)

// longFeedWaitOf returns how long a poll of the feed stays open while peers tell of changes.
func longFeedWaitOf(inForce time.Duration) time.Duration {
	return max(min(time.Duration(longFeedShare*float64(inForce)), maxLongWait), feedWaitOf(inForce))
}

// serveVersions answers peers that ask for the versions of this process's mirrors.
func serveVersions(server *peer.Server, mirrors map[string]*mirror.Mirror) {
	server.Handle(methodCompare, func(context.Context, func(any) error, peer.Sender) (any, error) {
		versions := make(map[string]int64, len(mirrors))
		for segment, m := range mirrors {
			versions[segment] = m.Version()
		}
		return versions, nil
	})
}

// compareVersions asks peers for their versions until the context ends, and gets the changes that
// they have and this process lacks.
func (p *peers) compareVersions(ctx context.Context, followers ...*follower) {
	for ctx.Err() == nil {
		_ = pause.For(ctx, versionInterval)
		if p.count() <= allowance.MaxHolders {
			continue
		}
		for _, address := range p.randomAddresses(1) {
			p.compareVersionsWith(ctx, address, followers)
		}
	}
}

func (p *peers) compareVersionsWith(ctx context.Context, address string, followers []*follower) {
	question, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	var versions map[string]int64
	if err := p.client.Call(question, address, methodCompare, struct{}{}, &versions); err != nil {
		klog.V(1).Infof("step=compare_versions peer=%s result=failed err=%q", address, err.Error())
		return
	}
	for _, f := range followers {
		known, told := f.mirror.Version(), versions[f.segment]
		switch {
		case told > known && known > 0:
			p.pollPeer(ctx, address, f)
		case told == 0:
			continue // it knows nothing itself
		}
		f.comparedAt.set()
	}
}
