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

// Times of the race of operators and of watching versions.
const (
	operators     = 2
	operatorPause = 1200 * time.Millisecond
	operatorTries = 8
	watchInterval = 50 * time.Millisecond
	propagation   = 10 * time.Second // how long a version is waited for
)

// race lets operators change the configuration at the same time. Each raises the
// share of a workspace of its own; whoever loses reads and tries again. In the
// end every accepted change must stand.
type race struct {
	fleet *fleet

	mu        sync.Mutex
	accepted  map[config.Version]time.Time
	last      map[string]float64 // the accepted share by workspace
	conflicts int
	errors    []string
}

func newRace(f *fleet) *race {
	return &race{fleet: f, accepted: map[config.Version]time.Time{}, last: map[string]float64{}}
}

// run lets all operators change until ctx ends.
func (r *race) run(ctx context.Context, prefix string) {
	names := sortedWorkspaces(r.fleet.document)
	// All change at the same moments, or the first conflict would set them apart.
	begun := time.Now()
	var group sync.WaitGroup
	for i := range min(operators, len(names)) {
		group.Go(func() {
			for n := 1; ctx.Err() == nil; n++ {
				// A change under way is finished, so that its outcome is known.
				r.change(context.WithoutCancel(ctx), i, names[i], fmt.Sprintf("%s-operator-%d-%d", prefix, i, n), float64(n+1))
				select {
				case <-ctx.Done():
				case <-time.After(time.Until(begun.Add(time.Duration(n) * operatorPause))):
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

// change makes one change through the operator's own VM.
func (r *race) change(ctx context.Context, operator int, workspace, id string, share float64) {
	client := r.fleet.api(operator)
	for try := range operatorTries {
		base, err := client.Config(ctx, 0)
		if err != nil {
			r.note(err)
			return
		}
		w := base.Document.Workspaces[workspace]
		w.Share = share
		base.Document.Workspaces[workspace] = w
		text := documentText(base.Document)
		reply, err := client.Apply(ctx, base.Version, fmt.Sprintf("%s-%d", id, try), text)
		if err == nil {
			r.note(nil)
			r.accept(reply.Version, workspace, share)
			return
		}
		if !isConflict(err) {
			r.note(err)
			return
		}
		r.mu.Lock()
		r.conflicts++
		r.mu.Unlock()
	}
}

// documentText encodes a document without the nulls that absent maps become,
// which the API refuses as it refuses them in a folder.
func documentText(d config.Document) []byte {
	text, err := json.Marshal(d)
	var tree any
	if err == nil {
		err = json.Unmarshal(text, &tree)
	}
	if err == nil {
		text, err = json.Marshal(withoutNulls(tree))
	}
	if err != nil {
		panic(err) // plain data
	}
	return text
}

func withoutNulls(value any) any {
	object, ok := value.(map[string]any)
	if !ok {
		return value
	}
	for name, member := range object {
		if member == nil {
			delete(object, name)
			continue
		}
		object[name] = withoutNulls(member)
	}
	return object
}

func isConflict(err error) bool {
	var p *admin.Problem
	return errors.As(err, &p) && p.Name() == admin.ProblemConflict
}

func (r *race) note(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, "operator: "+err.Error())
}

func (r *race) accept(v config.Version, workspace string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted[v] = time.Now()
	r.last[workspace] = share
}

// lostUpdates counts accepted changes that the configuration does not hold in
// the end.
func (r *race) lostUpdates(final config.Document) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := 0
	for workspace, share := range r.last {
		if final.Workspaces[workspace].Share != share {
			lost++
		}
	}
	return lost
}

// versions watches the version in force at every router.
type versions struct {
	mu sync.Mutex
	// seen holds, by VM, when each version was first seen to be in force.
	seen    map[string]map[config.Version]time.Time
	highest map[string]config.Version
	reverts []string
}

func newVersions() *versions {
	return &versions{seen: map[string]map[config.Version]time.Time{}, highest: map[string]config.Version{}}
}

// watch polls all routers until ctx ends.
func (v *versions) watch(ctx context.Context, f *fleet) {
	var group sync.WaitGroup
	for _, vm := range f.settings.VMs {
		group.Go(func() {
			for ctx.Err() == nil {
				if s, err := f.status(ctx, vm); err == nil {
					v.saw(vm.ID, s, time.Now())
				}
				select {
				case <-ctx.Done():
				case <-time.After(watchInterval):
				}
			}
		})
	}
	group.Wait()
}

// saw notes what a router said. A process never goes back to a lower version; a
// new process may not be lower than the one before it once it has any.
func (v *versions) saw(vm string, s status, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Version == 0 {
		return // a fresh process that has none and serves nobody
	}
	before := v.highest[vm]
	if s.Version < before {
		v.reverts = append(v.reverts, fmt.Sprintf("%s went from version %d to %d", vm, before, s.Version))
	}
	v.highest[vm] = max(s.Version, before)
	if v.seen[vm] == nil {
		v.seen[vm] = map[config.Version]time.Time{}
	}
	if _, known := v.seen[vm][s.Version]; !known {
		v.seen[vm][s.Version] = now
	}
}

// slowest returns the longest time from an acceptance until every router had the
// version or a higher one; propagation for one that never got there.
func (v *versions) slowest(accepted map[config.Version]time.Time, vms []VM) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	var slowest time.Duration
	for version, at := range accepted {
		for _, vm := range vms {
			slowest = max(slowest, v.reached(vm.ID, version, at))
		}
	}
	return slowest
}

func (v *versions) reached(vm string, version config.Version, at time.Time) time.Duration {
	first := propagation
	for seen, when := range v.seen[vm] {
		if seen >= version {
			first = min(first, max(when.Sub(at), 0))
		}
	}
	return first
}
