package quarantine

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// allCrashes returns the crashes that no router has cleared. The caller must hold t.mu.
func (t *Table) allCrashes(now time.Time) map[Crash]bool {
	all := map[Crash]bool{}
	add := func(entries map[Crash]time.Time, counts bool) {
		for c, at := range entries {
			if now.Sub(at) < retention {
				all[c] = counts
			}
		}
	}
	add(t.own.crashes, true)
	for _, o := range t.others {
		add(o.crashes, true)
	}
	add(t.own.cleared, false)
	for _, o := range t.others {
		add(o.cleared, false)
	}
	for c, counts := range all {
		if !counts {
			delete(all, c)
		}
	}
	return all
}

// evaluateSoon has the evidence evaluated after evaluationDelay. The caller must hold t.mu.
func (t *Table) evaluateSoon() {
	if t.evaluating {
		return
	}
	t.evaluating = true
	time.AfterFunc(min(max(evaluationDelay, evaluationShare*t.lastEvaluation), maxEvaluationDelay), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.evaluating = false
		began := time.Now()
		t.evaluate(began)
		t.lastEvaluation = time.Since(began)
	})
}

// evaluate decides which requests are quarantined. The caller must hold t.mu.
func (t *Table) evaluate(now time.Time) {
	processes := map[Fingerprint]map[Process]bool{}
	for c := range t.allCrashes(now) {
		if processes[c.Fingerprint] == nil {
			processes[c.Fingerprint] = map[Process]bool{}
		}
		processes[c.Fingerprint][c.Process] = true
	}
	old := t.view.Load()
	next := &view{suspects: make(map[Fingerprint]suspect, len(processes)), keys: map[uint32]bool{}}
	next.parts = t.evaluateParts(now, processes)
	culprits := findCulprits(processes)
	for f := range culprits {
		if next.parts.explains(processes[f]) {
			delete(culprits, f)
		}
	}
	for f, ended := range processes {
		s := suspect{crashes: len(ended)}
		if culprits[f] {
			if s.from = old.suspects[f].from; s.from.IsZero() {
				s.from = now.Add(settleTime)
			}
		}
		next.suspects[f] = s
		next.keys[f.key()] = true
	}
	logTransitions(old, next)
	logPartTransitions(&old.parts, &next.parts)
	t.view.Store(next)
	if len(t.own.crashes) > maxCrashes {
		t.evict(t.own.crashes, maxCrashes)
		t.ownChanged()
	}
}

// findCulprits returns the requests to which crashes are attributed. An upstream runs many
// requests when it ends, and one of them is the cause: the request with the most crashes
// explains them, and they no longer count against the others that ran there. Two requests
// that were present at the same crashes can't be told apart by the third one; the next
// crash, or a good end of one of them, decides.
func findCulprits(processes map[Fingerprint]map[Process]bool) map[Fingerprint]bool {
	candidates := map[Fingerprint]map[Process]bool{}
	for f, ended := range processes {
		if len(ended) >= crashLimit {
			candidates[f] = maps.Clone(ended)
		}
	}
	culprits := map[Fingerprint]bool{}
	for {
		leading := withMostCrashes(candidates)
		if len(leading) == 0 {
			return culprits
		}
		var explained []Process
		for _, f := range leading {
			if len(candidates[f]) > crashLimit || !sharesCrashes(f, leading, candidates) {
				culprits[f] = true
				explained = append(explained, slices.Collect(maps.Keys(candidates[f]))...)
			}
		}
		for _, f := range leading {
			delete(candidates, f)
		}
		for _, ended := range candidates {
			for _, p := range explained {
				delete(ended, p)
			}
		}
	}
}

// withMostCrashes returns the requests with the largest number of crashes, at least
// crashLimit.
func withMostCrashes(candidates map[Fingerprint]map[Process]bool) []Fingerprint {
	var leading []Fingerprint
	most := crashLimit
	for f, ended := range candidates {
		if len(ended) > most {
			leading, most = nil, len(ended)
		}
		if len(ended) == most {
			leading = append(leading, f)
		}
	}
	return leading
}

// sharesCrashes reports whether another of the leading requests was present at a crash of f.
func sharesCrashes(f Fingerprint, leading []Fingerprint, candidates map[Fingerprint]map[Process]bool) bool {
	for _, other := range leading {
		if other == f {
			continue
		}
		for p := range candidates[f] {
			if candidates[other][p] {
				return true
			}
		}
	}
	return false
}

// logTransitions writes a line for each request whose quarantine begins or ends.
func logTransitions(old, next *view) {
	for f, s := range next.suspects {
		if old.suspects[f].from.IsZero() && !s.from.IsZero() {
			klog.Warningf("step=quarantine fingerprint=%s state=quarantined crashes=%d", f, s.crashes)
		}
	}
	for f, s := range old.suspects {
		if !s.from.IsZero() && next.suspects[f].from.IsZero() {
			klog.Warningf("step=quarantine fingerprint=%s state=released", f)
		}
	}
}
