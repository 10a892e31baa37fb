// Package scenario defines the load test scenarios as a table; package run executes
// every one of them in the same way.
package scenario

import (
	"fmt"
	"time"

	"buckthornridge/loadtool/fault"
	"buckthornridge/loadtool/workload"
)

// Scenario describes one load test: its load and its faults.
type Scenario struct {
	Name  string
	About string
	// Duration of the arrivals; responses may take longer.
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate float64
	// InitialFunding is the amount bought per budget before the run, as a multiple of
	// the total cost of the budget's planned responses.
	InitialFunding float64
	// SlowEngines multiplies the step time of all engines; 0 means 1.
	SlowEngines float64
	// Operators enables concurrent configuration changes by several operators.
	Operators bool
	// Poison, if set, adds requests that crash the upstreams that run them.
	Poison *workload.Poison
	// Popular adds requests that many callers send with the same content.
	Popular bool
	// Faults to inject, in order of time.
	Faults []fault.Fault
}

const (
	defaultDuration = 20 * time.Second
	defaultRate     = 40
	// ampleFunding is the initial funding of scenarios that do not test budget limits.
	ampleFunding = 40
)

func newFault(seconds float64, kind fault.Kind, target string) fault.Fault {
	return fault.Fault{At: time.Duration(seconds * float64(time.Second)), Kind: kind, Target: target}
}

func processFault(seconds float64, verb fault.Verb, name string) fault.Fault {
	f := newFault(seconds, fault.Process, name)
	f.Verb = verb
	return f
}

func platformFault(seconds float64, body string) fault.Fault {
	f := newFault(seconds, fault.Platform, "")
	f.Body = body
	return f
}

func vmStateFault(seconds float64, vm, to string) fault.Fault {
	f := newFault(seconds, fault.State, vm)
	f.Body = to
	return f
}

func topUpFault(seconds, share float64) fault.Fault {
	f := newFault(seconds, fault.TopUp, "")
	f.Share = share
	return f
}

// limitFault makes an upstream name a rate, or none if it is negative.
func limitFault(seconds float64, target string, perSecond float64) fault.Fault {
	f := newFault(seconds, fault.Limit, target)
	f.Body = fmt.Sprintf(`{"per_second": %g}`, perSecond)
	return f
}

// saysFault makes an upstream say something of itself in its answers.
func saysFault(seconds float64, target, body string) fault.Fault {
	f := newFault(seconds, fault.Says, target)
	f.Body = body
	return f
}

// Table holds all scenarios. Targets "engine/N" and "service/N" denote the N-th
// engine or service server of the configuration folder, from 0.
var Table = []Scenario{
	{
		Name: "steady", About: "no fault",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
	},
	{
		Name: "budget-edge", About: "many callers compete for the last tokens of every budget",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: 0.6,
	},
	{
		Name: "router-kill", About: "two routers are killed with open streams; the platform confirms that one of them is gone",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{
			processFault(5, fault.Kill, "router-2"),
			vmStateFault(7, "vm-2", "gone"),
			processFault(10, fault.Start, "router-2"),
			processFault(13, fault.Kill, "router-1"),
			processFault(15, fault.Start, "router-1"),
		},
	},
	{
		Name: "store-outage", About: "the platform does not respond for 10 s",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{platformFault(5, `{"down": true}`), platformFault(15, `{"down": false}`)},
	},
	{
		Name: "rolling-restart", About: "planned restart of each VM in turn",
		Duration: 24 * time.Second, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{
			processFault(2, fault.Restart, "router-1"), processFault(2, fault.Restart, "control-1"),
			processFault(9, fault.Restart, "router-2"), processFault(9, fault.Restart, "control-2"),
			processFault(16, fault.Restart, "router-3"), processFault(16, fault.Restart, "control-3"),
		},
	},
	{
		Name: "operator-race", About: "two operators repeatedly change the configuration at the same time",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding, Operators: true,
	},
	{
		Name: "topup", About: "budgets are exhausted and topped up while requests are in flight",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: 0.3,
		Faults: []fault.Fault{topUpFault(8, 0.3), topUpFault(13, 0.3), topUpFault(17, 4)},
	},
	{
		Name: "router-freeze", About: "a router is paused, reported gone and resumed; another is paused for a short time",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{
			processFault(4, fault.Stop, "router-2"),
			vmStateFault(7, "vm-2", "gone"),
			processFault(11, fault.Cont, "router-2"),
			processFault(12, fault.Stop, "router-3"),
			processFault(13, fault.Restart, "router-2"),
			processFault(14, fault.Cont, "router-3"),
		},
	},
	{
		Name: "lost-answers", About: "table responses are lost after the write, or the write is delayed",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{
			platformFault(3, `{"lose_rate": 0.3, "delay_rate": 0.1, "delay": "500ms"}`),
			platformFault(17, `{"lose_rate": 0, "delay_rate": 0}`),
		},
	},
	{
		Name: "upstream-leaving", About: "an engine and a service server leave, as reported by the platform's delayed VM list",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{vmStateFault(6, "engine/0", "leaving"), vmStateFault(8, "service/0", "leaving")},
	},
	{
		Name: "upstream-kill", About: "three engines and a service server are killed and restarted",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{
			processFault(5, fault.Kill, "engine/2"), processFault(6, fault.Kill, "engine/5"),
			processFault(7, fault.Kill, "service/1"), processFault(7.5, fault.Kill, "engine/8"),
			processFault(12, fault.Start, "engine/2"), processFault(12.5, fault.Start, "engine/5"),
			processFault(13, fault.Start, "service/1"), processFault(13.5, fault.Start, "engine/8"),
		},
	},
	{
		Name: "poison-request", About: "requests that crash the upstreams that run them come again and again, while upstreams also crash for other causes",
		Duration: 25 * time.Second, Rate: defaultRate, InitialFunding: ampleFunding, Popular: true,
		Poison: &workload.Poison{From: 3 * time.Second, To: 24 * time.Second, Interval: 700 * time.Millisecond},
		Faults: []fault.Fault{
			processFault(9, fault.Kill, "engine/2"), processFault(9, fault.Kill, "engine/5"), processFault(9, fault.Kill, "engine/8"),
			processFault(10, fault.Kill, "service/1"),
			processFault(12, fault.Start, "engine/2"), processFault(12, fault.Start, "engine/5"), processFault(12, fault.Start, "engine/8"),
			processFault(13, fault.Start, "service/1"),
		},
	},
	{
		Name: "poison-part", About: "requests of which no two are alike share a part that crashes the upstreams that run them, while upstreams also crash for other causes",
		Duration: 25 * time.Second, Rate: defaultRate, InitialFunding: ampleFunding, Popular: true,
		Poison: &workload.Poison{From: 3 * time.Second, To: 24 * time.Second, Interval: 250 * time.Millisecond, Part: true},
		Faults: []fault.Fault{
			processFault(9, fault.Kill, "engine/2"), processFault(9, fault.Kill, "engine/5"), processFault(9, fault.Kill, "engine/8"),
			processFault(12, fault.Start, "engine/2"), processFault(12, fault.Start, "engine/5"), processFault(12, fault.Start, "engine/8"),
		},
	},
	{
		Name: "server-limit", About: "three engines and a server name the rate that they take, while other upstreams crash",
		Duration: 25 * time.Second, Rate: defaultRate, InitialFunding: ampleFunding, Popular: true,
		Faults: []fault.Fault{
			limitFault(2, "engine/0", 0.5), limitFault(2, "engine/3", 0.5), limitFault(2, "engine/4", 1), limitFault(2, "service/0", 1),
			processFault(9, fault.Kill, "engine/2"), processFault(10, fault.Kill, "service/1"),
			processFault(12, fault.Start, "engine/2"), processFault(13, fault.Start, "service/1"),
			limitFault(17, "engine/0", -1), limitFault(17, "service/0", -1),
		},
	},
	{
		Name: "server-says", About: "four engines and a server say in their answers that they leave, want rest or bear few rejections, while other upstreams crash",
		Duration: 25 * time.Second, Rate: defaultRate, InitialFunding: ampleFunding, Popular: true,
		Faults: []fault.Fault{
			saysFault(2, "engine/0", `{"leaving": true}`), saysFault(2, "service/0", `{"leaving": true}`),
			saysFault(3, "engine/3", `{"rejections": 2, "slots": 6}`), saysFault(3, "engine/4", `{"rejections": 2, "slots": 3}`),
			saysFault(4, "engine/6", `{"rest_ms": 3000}`),
			processFault(9, fault.Kill, "engine/2"), processFault(10, fault.Kill, "service/1"),
			processFault(12, fault.Start, "engine/2"), processFault(13, fault.Start, "service/1"),
			saysFault(14, "engine/6", `{}`), saysFault(17, "engine/3", `{}`),
		},
	},
	{
		Name: "overload", About: "twice the request rate that the engines can serve",
		Duration: 15 * time.Second, Rate: 150, InitialFunding: ampleFunding, SlowEngines: 4,
	},
	{
		Name: "store-slow", About: "every platform call takes 400 ms for 10 s",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{platformFault(5, `{"latency": "400ms"}`), platformFault(15, `{"latency": "0s"}`)},
	},
	{
		Name: "partition", About: "one VM is partitioned from the platform for 10 s without error responses",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{platformFault(5, `{"cut": ["vm-2"], "silent": true}`), platformFault(15, `{"cut": [], "silent": false}`)},
	},
	{
		Name: "scale-small", About: "a deployment of the current size: 8 VMs, all workspaces, no fault",
		Duration: defaultDuration, Rate: 100, InitialFunding: ampleFunding,
	},
	{
		Name: "kill-in-outage", About: "a router is killed while the platform does not respond",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: ampleFunding,
		Faults: []fault.Fault{
			platformFault(4, `{"down": true}`), processFault(8, fault.Kill, "router-2"),
			platformFault(11, `{"down": false}`), vmStateFault(12, "vm-2", "gone"), processFault(13, fault.Start, "router-2"),
		},
	},
	{
		Name: "edge-kill", About: "a router is killed while callers compete for the last tokens",
		Duration: defaultDuration, Rate: defaultRate, InitialFunding: 0.6,
		Faults: []fault.Fault{
			processFault(8, fault.Kill, "router-2"), vmStateFault(9, "vm-2", "gone"), processFault(11, fault.Start, "router-2"),
		},
	},
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, bool) {
	for _, s := range Table {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// requestMixes holds the request mix of each fleet by name.
var requestMixes = map[string][]workload.RequestClass{
	"lankawrap": {
		{Kind: "caption", Share: 50, Model: "panel-small", PromptBytes: 150, MinOutput: 12, MaxOutput: 40, MaxTokens: 64},
		{Kind: "panel_note", Share: 18, Model: "panel-small", PromptBytes: 400, MinOutput: 40, MaxOutput: 100, MaxTokens: 160, NonStreaming: true},
		{Kind: "full_brief", Share: 7, Model: "livery-large", PromptBytes: 1200, MinOutput: 120, MaxOutput: 260, MaxTokens: 400},
		{Kind: "confirmation", Share: 15, Service: "orders", Operation: "POST /confirmations"},
		{Kind: "lookup", Share: 10, Service: "orders", Operation: "GET /jobs/"},
	},
	"preiswarte": {
		{Kind: "form_help", Share: 45, Model: "survey-small", PromptBytes: 200, MinOutput: 15, MaxOutput: 60, MaxTokens: 96},
		{Kind: "movement_note", Share: 10, Model: "survey-large", PromptBytes: 1000, MinOutput: 100, MaxOutput: 240, MaxTokens: 400},
		{Kind: "submission", Share: 25, Service: "records", Operation: "POST /submissions"},
		{Kind: "status", Share: 20, Service: "records", Operation: "GET /submissions/"},
	},
}

// Mix returns the request mix of a fleet; nil for an unknown fleet.
func Mix(fleet string) []workload.RequestClass { return requestMixes[fleet] }
