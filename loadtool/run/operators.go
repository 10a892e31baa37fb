package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"buckthornridge/admin"
	"buckthornridge/config"
)

// Limits and intervals of the concurrent configuration changes and of polling the
// versions.
const (
	operatorCount      = 2
	changeInterval     = 1200 * time.Millisecond
	maxApplyTries      = 8
	statusInterval     = 50 * time.Millisecond
	propagationTimeout = 10 * time.Second // reported for a version that never took effect
)

// operatorRace lets operators change the configuration concurrently. Each operator
// raises the share of its own workspace and, on a conflict, reads the configuration
// again and retries. Every accepted change must be present in the final configuration.
type operatorRace struct {
	fleet *fleet

	mu         sync.Mutex
	accepted   map[config.Version]time.Time
	lastShares map[string]float64 // last accepted share by workspace
	conflicts  int
	errors     []string
}

func newOperatorRace(f *fleet) *operatorRace {
	return &operatorRace{fleet: f, accepted: map[config.Version]time.Time{}, lastShares: map[string]float64{}}
}

// run applies the changes of all operators until ctx ends.
func (r *operatorRace) run(ctx context.Context, prefix string) {
	names := sortedWorkspaces(r.fleet.document)
	// All operators start their changes at the same times. With a pause after each
	// change instead, the first conflict would shift them apart.
	start := time.Now()
	var group sync.WaitGroup
	for i := range min(operatorCount, len(names)) {
		group.Go(func() {
			for round := 1; ctx.Err() == nil; round++ {
				// A change that has begun is completed, so that its outcome is known.
				r.applyChange(context.WithoutCancel(ctx), i, names[i], fmt.Sprintf("%s-operator-%d-%d", prefix, i, round), float64(round+1))
				select {
				case <-ctx.Done():
				case <-time.After(time.Until(start.Add(time.Duration(round) * changeInterval))):
				}
			}
		})
	}
	group.Wait()
}

func sortedWorkspaces(d config.Document) []string {
	var names []string
	for name := range d.Workspaces {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// applyChange applies one change through the operator's own VM and retries it on
// conflicts.
func (r *operatorRace) applyChange(ctx context.Context, operator int, workspace, id string, share float64) {
	client := r.fleet.api(operator)
	for try := range maxApplyTries {
		base, err := client.Config(ctx, 0)
		if err != nil {
			r.recordError(err)
			return
		}
		w := base.Document.Workspaces[workspace]
		w.Share = share
		base.Document.Workspaces[workspace] = w
		text := encodeDocument(base.Document)
		reply, err := client.Apply(ctx, base.Version, fmt.Sprintf("%s-%d", id, try), text)
		if err == nil {
			r.recordError(nil)
			r.recordAccepted(reply.Version, workspace, share)
			return
		}
		if !isConflict(err) {
			r.recordError(err)
			return
		}
		r.mu.Lock()
		r.conflicts++
		r.mu.Unlock()
	}
}

// encodeDocument encodes a document. Absent maps are encoded as null, which the API
// rejects as it does in a configuration folder, so nulls are removed.
func encodeDocument(d config.Document) []byte {
	text, err := json.Marshal(d)
	var tree any
	if err == nil {
		err = json.Unmarshal(text, &tree)
	}
	if err == nil {
		text, err = json.Marshal(removeNulls(tree))
	}
	if err != nil {
		panic(err) // a document always encodes
	}
	return text
}

func removeNulls(value any) any {
	object, ok := value.(map[string]any)
	if !ok {
		return value
	}
	for name, member := range object {
		if member == nil {
			delete(object, name)
			continue
		}
		object[name] = removeNulls(member)
	}
	return object
}

func isConflict(err error) bool {
	var p *admin.Problem
	return errors.As(err, &p) && p.Name() == admin.ProblemConflict
}

func (r *operatorRace) recordError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, "operator: "+err.Error())
}

func (r *operatorRace) recordAccepted(v config.Version, workspace string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted[v] = time.Now()
	r.lastShares[workspace] = share
}

// lostUpdates counts accepted changes that are missing from the final configuration.
func (r *operatorRace) lostUpdates(final config.Document) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := 0
	for workspace, share := range r.lastShares {
		if final.Workspaces[workspace].Share != share {
			lost++
		}
	}
	return lost
}

// versionTracker tracks the configuration version in force at every router.
type versionTracker struct {
	mu sync.Mutex
	// firstSeen holds, by VM, when each version was first observed in force.
	firstSeen map[string]map[config.Version]time.Time
	highest   map[string]config.Version
	reverts   []string
}

func newVersionTracker() *versionTracker {
	return &versionTracker{firstSeen: map[string]map[config.Version]time.Time{}, highest: map[string]config.Version{}}
}

// watch polls all routers until ctx ends.
func (v *versionTracker) watch(ctx context.Context, f *fleet) {
	var group sync.WaitGroup
	for _, vm := range f.settings.VMs {
		group.Go(func() {
			for ctx.Err() == nil {
				if s, err := f.readStatus(ctx, vm); err == nil {
					v.observe(vm.ID, s, time.Now())
				}
				select {
				case <-ctx.Done():
				case <-time.After(statusInterval):
				}
			}
		})
	}
	group.Wait()
}

// observe records the version that a router reports and detects reverts. A process
// never returns to a lower version. A restarted process may have no version at
// first; after that its version must not be lower than its predecessor's.
func (v *versionTracker) observe(vm string, s routerStatus, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Version == 0 {
		return // a started process without a version does not serve requests
	}
	before := v.highest[vm]
	if s.Version < before {
		v.reverts = append(v.reverts, fmt.Sprintf("%s went from version %d to %d", vm, before, s.Version))
	}
	v.highest[vm] = max(s.Version, before)
	if v.firstSeen[vm] == nil {
		v.firstSeen[vm] = map[config.Version]time.Time{}
	}
	if _, known := v.firstSeen[vm][s.Version]; !known {
		v.firstSeen[vm][s.Version] = now
	}
}

// slowestPropagation returns the longest time from the acceptance of a version until
// every router had this version or a higher one. A version that never reached a
// router counts as propagationTimeout.
func (v *versionTracker) slowestPropagation(accepted map[config.Version]time.Time, vms []VM) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	var slowest time.Duration
	for version, at := range accepted {
		for _, vm := range vms {
			slowest = max(slowest, v.propagationTime(vm.ID, version, at))
		}
	}
	return slowest
}

func (v *versionTracker) propagationTime(vm string, version config.Version, at time.Time) time.Duration {
	first := propagationTimeout
	for seen, when := range v.firstSeen[vm] {
		if seen >= version {
			first = min(first, max(when.Sub(at), 0))
		}
	}
	return first
}
