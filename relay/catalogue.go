package relay

import (
	"math"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornridge/origin"
)

// Route says how requests for a host and path are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// TargetLatency is the latency within which a response has its full value.
	TargetLatency time.Duration
	// PauseTarget is the longest pause between two events of a stream at which it has its full
	// value; 0 if the operators name none.
	PauseTarget time.Duration
	// Attempts is the largest number of upstreams that one request may be sent to.
	Attempts int
	// Priority orders requests; 0 goes first.
	Priority int
	// Public routes need no API key.
	Public   bool
	Services []WeightedService
	// ServicesSince is when the route was seen to get these services; zero if it has had
	// them since this router started.
	ServicesSince time.Time
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// Slots is how many requests one upstream runs concurrently; 0 if unknown.
	Slots int
	// Connections is how many connections an upstream accepts from all routers.
	Connections int
	// EventTokens is the largest number of tokens in one event of a stream.
	EventTokens int64
	// Engine says that the upstreams are model engines.
	Engine bool
	Models []string
	// WarmUp is how long an upstream is cold after it starts. Meanwhile it bears at most
	// WarmUpRate requests a second from all routers; 0 means no limit.
	WarmUp     time.Duration
	WarmUpRate float64
	// PartBytes is what an engine keeps for one token of a prompt, and PartLinkMbit the rate at
	// which another engine can fetch it; 0 if they can't.
	PartBytes    int64
	PartLinkMbit float64
}

// Workspace is a customer with a prepaid budget.
type Workspace struct {
	Name string
	// Priority takes precedence over that of the route; negative if there is none.
	Priority int
	// Prepaid is the number of tokens that the workspace may spend; negative if it has
	// no budget.
	Prepaid int64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Definition is the content of a Catalogue as the platform adapter decodes it.
type Definition struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Keys       map[string]string // API key to workspace
	Limits     Limits
}

// Catalogue is one accepted version of the operators' configuration with the indexes
// that requests need. It is immutable.
type Catalogue struct {
	Version    int64
	Limits     Limits
	Services   map[string]Service
	Workspaces map[string]Workspace
	keys       map[string]string
	byHost     map[string][]*Route // longest prefix first
}

// NewCatalogue builds the indexes of a definition.
func NewCatalogue(d Definition) *Catalogue {
	c := &Catalogue{
		Version:    d.Version,
		Limits:     d.Limits,
		Services:   make(map[string]Service, len(d.Services)),
		Workspaces: make(map[string]Workspace, len(d.Workspaces)),
		keys:       d.Keys,
		byHost:     map[string][]*Route{},
	}
	for _, s := range d.Services {
		c.Services[s.Name] = s
	}
	for _, w := range d.Workspaces {
		c.Workspaces[w.Name] = w
	}
	for i := range d.Routes {
		route := &d.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c
}

// Route returns the route of a request, or nil.
func (c *Catalogue) Route(host, path string) *Route {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Owner returns the workspace of an API key.
func (c *Catalogue) Owner(key string) (Workspace, bool) {
	name, known := c.keys[key]
	if !known {
		return Workspace{}, false
	}
	w, known := c.Workspaces[name]
	return w, known
}

// Has reports whether the route leads to a service.
func (r *Route) Has(service string) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// OnlyService returns the service of all requests of the route since before any stream can
// have begun that is still continued, if there is one.
func (r *Route) OnlyService(now time.Time) (service string, ok bool) {
	if now.Sub(r.ServicesSince) <= origin.Lifetime {
		return "", false
	}
	count := 0
	for _, s := range r.Services {
		if s.Weight > 0 {
			service = s.Service
			count++
		}
	}
	return service, count == 1
}

// Service returns the service that a request goes to. Among several it is chosen by a
// hash of the request's id, so that all attempts of a request agree.
func (r *Route) Service(requestID string) string {
	if len(r.Services) == 0 {
		return ""
	}
	var total float64
	for _, s := range r.Services {
		total += s.Weight
	}
	at := float64(xxhash.Sum64String(requestID)) / math.MaxUint64 * total
	for _, s := range r.Services {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// noteServiceChanges records which routes have other services than requests for the same
// paths had in the catalogue before.
func (c *Catalogue) noteServiceChanges(before *Catalogue, now time.Time) {
	for host, routes := range c.byHost {
		for _, r := range routes {
			old := before.Route(host, r.Prefix)
			switch {
			case old == nil: // there were no such requests
			case slices.Equal(old.Services, r.Services):
				r.ServicesSince = old.ServicesSince
			default:
				r.ServicesSince = now
			}
		}
	}
}

// CurrentCatalogue publishes catalogues by read-copy-update. Within one process the
// version never decreases.
type CurrentCatalogue struct{ current atomic.Pointer[Catalogue] }

// Load returns the current catalogue, or nil before the first one.
func (h *CurrentCatalogue) Load() *Catalogue { return h.current.Load() }

// Advance replaces the current catalogue if c has a higher version. It reports whether
// it did.
func (h *CurrentCatalogue) Advance(c *Catalogue) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if old != nil {
			c.noteServiceChanges(old, time.Now())
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
