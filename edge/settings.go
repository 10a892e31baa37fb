package edge

import (
	"github.com/rotisserie/eris"

	"buckthornridge/settings"
	"buckthornridge/telemetry"
)

// Settings is the settings file of an entry process.
type Settings struct {
	// VM is the id of the machine. A process that starts later with the same id ends
	// this one.
	VM string `json:"vm"`
	// IP is the machine's address for peers.
	IP         string `json:"ip"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Strength is the machine's share of a CPU core. Machines with more hold more
	// budgets; 0 counts as 1.
	Strength float64 `json:"strength"`
	// LinkMbit is the rate of the VM's link in each direction in Mbit/s; 0 if unknown.
	LinkMbit float64 `json:"link_mbit"`
	// Listen is the address for callers, ReadyListen that for the load balancer's health
	// checks, PeerListen that for the system's other processes, and MetricsListen that
	// for metrics; each host:port.
	Listen        string `json:"listen"`
	ReadyListen   string `json:"ready_listen"`
	PeerListen    string `json:"peer_listen"`
	MetricsListen string `json:"metrics_listen"`
	// NoticeListen is the address for datagrams of the other processes, with the same
	// port on all VMs. If it is empty, no notices are sent or received.
	NoticeListen string `json:"notice_listen"`
	// Peers are addresses of other processes, used until the list of members is read.
	// They may be stale.
	Peers []string `json:"peers"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// DrainLimit bounds a planned stop.
	DrainLimit settings.Duration `json:"drain_limit"`
	// ConfigurationInForce is the time within which a configuration that the store has
	// accepted must be active.
	ConfigurationInForce settings.Duration `json:"configuration_in_force"`
	// RetryBudget bounds retries at a second upstream, over all routers.
	RetryBudget RetrySettings `json:"repeats"`
	// MemoryBytes is the memory that the process may use; the garbage collector's limit
	// is three quarters of it. 0 sets no limit.
	MemoryBytes int64 `json:"memory_bytes"`
	// Trace configures the export of spans.
	Trace telemetry.Trace `json:"trace"`
}

const (
	// bufferedShare is the part of the memory that bodies and events of callers and
	// upstreams may take together.
	bufferedShare = 0.25
	// defaultMemory applies to a process whose memory is not known, in bytes.
	defaultMemory = 512 << 20
)

// bufferedBytes returns how many bytes of bodies and events a process with some memory may
// keep.
func bufferedBytes(memory int64) int64 {
	if memory <= 0 {
		memory = defaultMemory
	}
	return int64(bufferedShare * float64(memory))
}

// RetrySettings are the operators' bounds for retries of one service's requests.
type RetrySettings struct {
	Share  float64           `json:"share"`
	Extra  float64           `json:"extra"`
	Window settings.Duration `json:"window"`
}

// Validate reports the first setting that is missing or out of range.
func (s Settings) Validate() error {
	for _, required := range []struct{ name, value string }{
		{"vm", s.VM},
		{"ip", s.IP},
		{"data_centre", s.DataCentre},
		{"listen", s.Listen},
		{"ready_listen", s.ReadyListen},
		{"peer_listen", s.PeerListen},
		{"store", s.Store},
	} {
		if required.value == "" {
			return eris.Errorf("settings: %s is missing", required.name)
		}
	}
	if s.Strength < 0 {
		return eris.New("settings: strength must not be negative")
	}
	if s.LinkMbit < 0 {
		return eris.New("settings: link_mbit must not be negative")
	}
	if s.DrainLimit <= 0 {
		return eris.New(`settings: drain_limit must be above 0, for example "8s"`)
	}
	if s.ConfigurationInForce <= 0 {
		return eris.New(`settings: configuration_in_force must be above 0, for example "2s"`)
	}
	if s.RetryBudget.Share < 0 || s.RetryBudget.Extra < 0 || s.RetryBudget.Window <= 0 {
		return eris.New("settings: repeats needs share and extra of at least 0 and a window above 0")
	}
	if s.MemoryBytes < 0 {
		return eris.New("settings: memory_bytes must not be negative")
	}
	if s.Trace.Ratio < 0 || s.Trace.Ratio > 1 {
		return eris.New("settings: trace.ratio must be between 0 and 1")
	}
	return nil
}
