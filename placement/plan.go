package placement

import (
	"cmp"
	"slices"
)

// planner holds the state of one ComputePlan call.
type planner struct {
	models         map[string]*Model
	sorted         []*Model // by name
	engines        []*plannedEngine
	remainingBytes int64 // of MaxLoadingBytes
	plan           Plan
}

// plannedEngine is an engine with its planned models.
type plannedEngine struct {
	*Engine
	target []string
}

// ComputePlan returns the next plan. It keeps previous targets where possible,
// since each load uses bandwidth of the weight store and discards a cache. It
// never evicts a model's last replica, nor one that its minimum or demand requires.
func ComputePlan(in Input) Plan {
	p := newPlanner(in)
	for p.addReplica() {
	}
	for _, m := range p.sorted {
		if p.needsReplica(m) {
			p.plan.Deferred++
		}
	}
	for _, e := range p.engines {
		slices.Sort(e.target)
		p.plan.Targets[e.ID] = e.target
	}
	return p.plan
}

func newPlanner(in Input) *planner {
	p := &planner{models: map[string]*Model{}, remainingBytes: in.MaxLoadingBytes, plan: Plan{Targets: map[string][]string{}}}
	for i := range in.Models {
		m := &in.Models[i]
		p.models[m.Name] = m
		p.sorted = append(p.sorted, m)
	}
	slices.SortFunc(p.sorted, func(a, b *Model) int { return cmp.Compare(a.Name, b.Name) })
	for i := range in.Engines {
		e := &in.Engines[i]
		if e.Leaving {
			continue
		}
		base, known := in.Previous[e.ID]
		if !known {
			base = e.Models
		}
		target := p.knownModels(base)
		for _, name := range target {
			if !e.Unresponsive && !slices.Contains(e.Models, name) {
				p.remainingBytes -= p.models[name].Bytes // still loading
			}
		}
		p.engines = append(p.engines, &plannedEngine{Engine: e, target: target})
	}
	slices.SortFunc(p.engines, func(a, b *plannedEngine) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

func (p *planner) knownModels(names []string) []string {
	var known []string
	for _, name := range names {
		if p.models[name] != nil {
			known = append(known, name)
		}
	}
	return known
}

// capacity returns the slots and the number of the model's planned replicas. An
// engine's slots are divided evenly among its models.
func (p *planner) capacity(name string) (slots float64, replicas int) {
	for _, e := range p.engines {
		if slices.Contains(e.target, name) {
			slots += float64(e.Slots) / float64(len(e.target))
			replicas++
		}
	}
	return slots, replicas
}

// needsReplica reports whether the model needs another replica.
func (p *planner) needsReplica(m *Model) bool {
	slots, replicas := p.capacity(m.Name)
	return replicas < m.Replicas || slots < m.Demand*headroomFactor
}

// canRemoveReplica reports whether the model can do without one replica and its
// lostSlots.
func (p *planner) canRemoveReplica(name string, lostSlots float64) bool {
	m := p.models[name]
	slots, replicas := p.capacity(name)
	if replicas-1 < max(m.Replicas, 1) {
		return false
	}
	return slots-lostSlots >= m.Demand*headroomFactor
}

// addReplica adds a replica of the model with the largest shortfall that can be
// placed, and reports whether there was one.
func (p *planner) addReplica() bool {
	candidates := slices.Clone(p.sorted)
	slices.SortStableFunc(candidates, func(a, b *Model) int { return cmp.Compare(p.shortfall(b), p.shortfall(a)) })
	for _, m := range candidates {
		if p.needsReplica(m) && m.Bytes <= p.remainingBytes && p.place(m) {
			p.remainingBytes -= m.Bytes
			return true
		}
	}
	return false
}

// shortfall returns the fraction of its needed slots that a model lacks, from 0 to
// 1. It is 1 below the minimum number of replicas, and 2 for a model that needs a
// replica and has none.
func (p *planner) shortfall(m *Model) float64 {
	slots, replicas := p.capacity(m.Name)
	need := m.Demand * headroomFactor
	switch {
	case replicas == 0 && (m.Replicas > 0 || need > 0):
		return 2
	case replicas < m.Replicas:
		return 1
	case need == 0:
		return 0
	}
	return max(0, 1-slots/need)
}

// place adds the model to the engine with the lowest penalty and reports whether
// one fits. It prefers data centres with few replicas of the model, engines with
// few models, and engines that need not evict a model.
func (p *planner) place(m *Model) bool {
	replicasInDataCentre := map[string]int{}
	for _, e := range p.engines {
		if slices.Contains(e.target, m.Name) {
			replicasInDataCentre[e.DataCentre]++
		}
	}
	var best *plannedEngine
	var lowestPenalty int
	var bestEvicted string
	for _, e := range p.engines {
		evicted, fits := p.fit(e, m)
		if !fits {
			continue
		}
		penalty := replicasInDataCentre[e.DataCentre]*dataCentrePenalty + len(e.target)
		if evicted != "" {
			penalty += evictionPenalty
		}
		if best == nil || penalty < lowestPenalty {
			best, lowestPenalty, bestEvicted = e, penalty, evicted
		}
	}
	if best == nil {
		return false
	}
	best.target = slices.DeleteFunc(slices.Clone(best.target), func(name string) bool { return name == bestEvicted })
	best.target = append(best.target, m.Name)
	return true
}

// Penalties of an engine in place, beside 1 for each model that it holds.
const (
	dataCentrePenalty = 10 // for each replica of the model in the engine's data centre
	evictionPenalty   = 5  // if another model must be evicted
)

// fit reports whether the model fits on the engine, and which model, if any, must
// be evicted for it.
func (p *planner) fit(e *plannedEngine, m *Model) (evicted string, fits bool) {
	if e.Unresponsive || slices.Contains(e.target, m.Name) {
		return "", false
	}
	modelCount := float64(len(e.target))
	if len(e.target) < e.MaxModels {
		// The models there get fewer slots each and must still serve their demand.
		lostSlots := float64(e.Slots)/max(modelCount, 1) - float64(e.Slots)/(modelCount+1)
		for _, name := range e.target {
			if slots, _ := p.capacity(name); slots-lostSlots < p.models[name].Demand*headroomFactor {
				return "", false
			}
		}
		return "", true
	}
	for _, name := range e.target {
		if p.canRemoveReplica(name, float64(e.Slots)/modelCount) {
			return name, true
		}
	}
	return "", false
}
