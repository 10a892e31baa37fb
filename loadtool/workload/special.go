package workload

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"buckthornridge/config"
	"buckthornridge/loadtool/record"
	"buckthornridge/standin/node"
	"buckthornridge/upstream"
)

// popularInterval is the time between two requests for the same popular thing.
const popularInterval = 100 * time.Millisecond

// Poison describes requests that crash the upstreams that run them. They come again with
// the same content and new ids.
type Poison struct {
	// From and To are the times of the first and of the last one.
	From, To time.Duration
	// Interval is the time between two of them.
	Interval time.Duration
	// Part says that they share only a part of their prompts. No two are alike, and for
	// each there is a sound one that shares its other parts.
	Part bool
}

// PoisonArrivals returns the requests that crash upstreams: one to a model and one to a
// service at a time, each always with the same content.
func PoisonArrivals(plan Plan, p Poison, d config.Document) []record.Arrival {
	if p.Part {
		return varied(plan, p, d, "poison-part", node.CrashMarker+" a part that several requests share")
	}
	return repeated(plan, "poison", p.From, p.To, p.Interval, d, func(class RequestClass) bool {
		return class.Model != "" || !strings.HasPrefix(class.Operation, "GET ")
	}, node.CrashMarker)
}

// SoundTwins returns the requests that share all but the deadly part with those of
// PoisonArrivals.
func SoundTwins(plan Plan, p Poison, d config.Document) []record.Arrival {
	return varied(plan, p, d, "sound-twin", "a sound part that several requests share")
}

// varied returns model requests that share their first lines and a certain one, and end in
// a line of their own.
func varied(plan Plan, p Poison, d config.Document, name, part string) []record.Arrival {
	workspaces := requestingWorkspaces(plan, d)
	index := slices.IndexFunc(plan.Mix, func(m RequestClass) bool { return m.Model != "" })
	if len(workspaces) == 0 || index < 0 {
		return nil
	}
	workspace, class := workspaces[0], plan.Mix[index]
	var all []record.Arrival
	for at := p.From; at <= p.To && at < plan.Duration; at += p.Interval {
		a := record.Arrival{
			ID: fmt.Sprintf("%s-%d-%s-%d", plan.Prefix, plan.Seed, name, len(all)), At: at, Workspace: workspace,
			Budget: firstBudget(d.Workspaces[workspace]), Kind: class.Kind,
		}
		a.ModelRequest = newModelRequest(class, a, class.MinOutput)
		a.ModelRequest.Content = fmt.Sprintf("instructions that all requests of the kind share\n%s\n%s", part, a.ModelRequest.Content)
		a.ModelRequest.Prompt = upstream.FlattenPrompt([]upstream.Message{{Role: "user", Content: a.ModelRequest.Content}})
		all = append(all, a)
	}
	return all
}

// PopularArrivals returns requests that many callers send with the same content.
func PopularArrivals(plan Plan, d config.Document) []record.Arrival {
	return repeated(plan, "popular", 0, plan.Duration, popularInterval, d, func(class RequestClass) bool {
		return class.Model != "" || strings.HasPrefix(class.Operation, "GET ")
	}, "")
}

// repeated returns requests of the same content at regular times: one to a model and one to
// a service, of the first classes that suit.
func repeated(plan Plan, name string, from, to, interval time.Duration, d config.Document,
	suits func(RequestClass) bool, marker string,
) []record.Arrival {
	workspaces := requestingWorkspaces(plan, d)
	if len(workspaces) == 0 {
		return nil
	}
	workspace := workspaces[len(name)%len(workspaces)]
	model := slices.IndexFunc(plan.Mix, func(m RequestClass) bool { return m.Model != "" && suits(m) })
	call := slices.IndexFunc(plan.Mix, func(m RequestClass) bool { return m.Service != "" && suits(m) })
	var all []record.Arrival
	for at := from; at <= to && at < plan.Duration; at += interval {
		for _, index := range []int{model, call} {
			if index < 0 {
				continue
			}
			class := plan.Mix[index]
			all = append(all, repeatedArrival(class, d, record.Arrival{
				ID: fmt.Sprintf("%s-%d-%s-%d", plan.Prefix, plan.Seed, name, len(all)), At: at, Workspace: workspace,
				Budget: firstBudget(d.Workspaces[workspace]), Kind: class.Kind,
			}, name, marker))
		}
	}
	return all
}

func repeatedArrival(class RequestClass, d config.Document, a record.Arrival, name, marker string) record.Arrival {
	id := a.ID
	a.ID = name // the content must not depend on the id
	if class.Service != "" {
		a.Call = newCall(class, d, a)
		if a.Call.Body != nil {
			a.Call.Body = append(a.Call.Body, marker...)
		}
	} else {
		a.ModelRequest = newModelRequest(class, a, class.MinOutput)
		a.ModelRequest.Content += marker
		a.ModelRequest.Prompt = upstream.FlattenPrompt([]upstream.Message{{Role: "user", Content: a.ModelRequest.Content}})
	}
	a.ID = id
	return a
}

// Merge returns all arrivals in order of time.
func Merge(lists ...[]record.Arrival) []record.Arrival {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b record.Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}
