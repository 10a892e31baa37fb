package relay

import (
	"strings"
	"testing"

	"buckthornridge/upstream"
)

// setVersions gives the upstreams versions; the first one that gets a request breaks off
// after two events, and the events name their upstream's version.
func (b *harness) setVersions(versions map[string]string) {
	for id, u := range b.fleet {
		u.Version = versions[id]
		b.fleet[id] = u
	}
	b.answer = func(out OutgoingRequest) step {
		event := func(id string) string { return "id: " + id + "\ndata: " + out.Upstream.Version + "\n\n" }
		if out.LastEventID != "" {
			return answered(event("3"))
		}
		s := answered(event("1") + event("2"))
		s.bodyErr = upstream.ErrBroken
		return s
	}
}

// Guards against one answer with events of two software versions.
func TestStreamResumesAtItsVersionOnly(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions map[string]string
		resumes  bool // another upstream has the version of the first one
	}{
		{"two of each", map[string]string{"u1": "v1", "u2": "v2", "u3": "v1", "u4": "v2"}, true},
		{"each another", map[string]string{"u1": "v1", "u2": "v2", "u3": "v3", "u4": "v4"}, false},
		{"one version", map[string]string{"u1": "v1", "u2": "v1", "u3": "v1", "u4": "v1"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runTest(t, func(t *testing.T) {
				for range 20 {
					b := newHarness(t, Resumable)
					b.setVersions(c.versions)
					got := b.serve(b.request())
					seen := 0
					for _, v := range []string{"v1", "v2", "v3", "v4"} {
						if strings.Contains(got.body, v) {
							seen++
						}
					}
					if seen != 1 {
						t.Errorf("events of %d versions in %q", seen, got.body)
					}
					if got.aborted == c.resumes {
						t.Errorf("aborted %t: %q", got.aborted, got.body)
					}
				}
			})
		})
	}
}
