// Package fault injects faults into a fleet at planned times. It does not start
// or signal processes itself: it writes each request for a process as one line,
// "VERB NAME", to a pipe, whose reader manages the processes.
package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Kind says what a fault acts on.
type Kind string

// The kinds of fault.
const (
	// Process requests a signal to, or a start of, the process Target.
	Process Kind = "process"
	// Platform sends Body to the platform stand-in's /debug/faults.
	Platform Kind = "platform"
	// State sets the state that the platform reports for the VM Target.
	State Kind = "state"
	// Upstream sends Body to /debug/faults of the upstream Target.
	Upstream Kind = "upstream"
	// Limit sends Body to /debug/limit of the upstream Target.
	Limit Kind = "limit"
	// Says sends Body to /debug/says of the upstream Target.
	Says Kind = "says"
	// TopUp buys Share of the planned spend for every budget.
	TopUp Kind = "top_up"
)

// Verb is the action that is requested for a process.
type Verb string

// The verbs; Restart is a planned stop followed by a start.
const (
	Kill    Verb = "kill"
	Stop    Verb = "stop"
	Cont    Verb = "cont"
	Term    Verb = "term"
	Start   Verb = "start"
	Restart Verb = "restart"
)

// Fault is one planned change to the fleet: a fault or a top-up.
type Fault struct {
	At     time.Duration `json:"at_ns"`
	Kind   Kind          `json:"kind"`
	Target string        `json:"target,omitempty"`
	Verb   Verb          `json:"verb,omitempty"`
	Body   string        `json:"body,omitempty"`
	Share  float64       `json:"share,omitempty"`
}

// String describes the fault for progress lines.
func (f Fault) String() string {
	return strings.TrimSpace(strings.Join([]string{string(f.Kind), string(f.Verb), f.Target, f.Body}, " "))
}

// Done is a fault and the time at which it was injected.
type Done struct {
	Fault
	When time.Time `json:"when"`
}

// Executor injects faults.
type Executor struct {
	PlatformAddress string
	// Upstreams are addresses by upstream id.
	Upstreams map[string]string
	// Resolve returns the id that a scenario's target, such as "engine/1", stands
	// for in this fleet.
	Resolve func(target string) string
	// Requests receives the lines for processes; nil if nothing reads them.
	Requests io.Writer
	// Before, if set, is called just before each fault.
	Before func(ctx context.Context, f Fault)
	// TopUp buys a share of the planned spend.
	TopUp  func(ctx context.Context, share float64) error
	Client *http.Client
}

// Run injects all faults, each at its time after start.
func (e *Executor) Run(ctx context.Context, start time.Time, faults []Fault, report func(Done, error)) {
	for _, f := range faults {
		timer := time.NewTimer(time.Until(start.Add(f.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if e.Resolve != nil {
			f.Target = e.Resolve(f.Target)
		}
		if e.Before != nil {
			e.Before(ctx, f)
		}
		done := Done{Fault: f, When: time.Now()}
		report(done, e.Do(ctx, f))
	}
}

// Do injects one fault immediately.
func (e *Executor) Do(ctx context.Context, f Fault) error {
	switch f.Kind {
	case Process:
		return e.requestProcess(f)
	case Platform:
		return e.post(ctx, "http://"+e.PlatformAddress+"/debug/faults", f.Body)
	case State:
		body, _ := json.Marshal(stateChange{ID: f.Target, State: f.Body}) // plain strings always encode
		return e.post(ctx, "http://"+e.PlatformAddress+"/debug/vms", string(body))
	case Upstream:
		return e.post(ctx, "http://"+e.Upstreams[f.Target]+"/debug/faults", f.Body)
	case Limit:
		return e.post(ctx, "http://"+e.Upstreams[f.Target]+"/debug/limit", f.Body)
	case Says:
		return e.post(ctx, "http://"+e.Upstreams[f.Target]+"/debug/says", f.Body)
	case TopUp:
		return e.TopUp(ctx, f.Share)
	}
	return eris.Errorf("unknown fault kind %q", f.Kind)
}

type stateChange struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

func (e *Executor) requestProcess(f Fault) error {
	if e.Requests == nil {
		return eris.Errorf("fault %s: no reader for process requests (see the setting requests)", f)
	}
	_, err := fmt.Fprintf(e.Requests, "%s %s\n", f.Verb, f.Target)
	return eris.Wrapf(err, "fault %s", f)
}

func (e *Executor) post(ctx context.Context, url, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return eris.Wrapf(err, "post %s", url)
	}
	response, err := e.Client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "post %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return eris.Errorf("post %s: %s: %s", url, response.Status, text)
	}
	return nil
}
