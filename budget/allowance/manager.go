package allowance

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"buckthornridge/store"
)

// A new process waits startupDelay before it takes a share of a budget that no request
// needs: it does not know yet how many VMs share it. startupJitter keeps the VMs from
// contending for the same rows.
const (
	startupDelay  = 2500 * time.Millisecond
	startupJitter = 1500 * time.Millisecond
)

// Options configure a Manager.
type Options struct {
	Table store.Table
	Feed  store.Feed
	Clock store.Clock
	// VM names the machine. A process that starts under this name ends the one before it.
	VM string
	// Incarnation distinguishes this process from its predecessors on the VM.
	Incarnation string
	// LoanClient borrows tokens from other VMs for single requests. Nil disables
	// borrowing.
	LoanClient LoanClient
	// LinkBusy reports whether the VM's link is so loaded that answers are delayed. Nil
	// means never.
	LinkBusy func() bool
	// AnswerDelay returns how long answers wait at the VM's link while it is full. Nil means
	// not at all.
	AnswerDelay func() time.Duration
	// VMs returns the number of VMs in the fleet, at least 1.
	VMs func() int
	// Era returns the newest era of the table that is known. Nil: the table tells none.
	Era func() int64
	// Members returns the names of all VMs that may hold grants. Nil: those that are heard.
	Members func() []string
	// Sharing returns which VMs hold a budget. Nil means that all VMs hold all budgets.
	Sharing func(budget string) Sharing
}

// Manager keeps one process's grants of all budgets and reserves tokens from them.
type Manager struct {
	options Options
	self    string
	// reportWanted and grantWanted trigger the two upkeep loops before their interval
	// ends.
	reportWanted, grantWanted chan struct{}
	// eraEntered tells that the table is in another era than before.
	eraEntered chan struct{}

	mu       sync.Mutex
	accounts map[string]*account
	ready    bool // the predecessors' state was read, or requests need not wait for it
	// partitionsTried counts successes and failures of the first reads of pools;
	// partitionRead says that at least one succeeded.
	partitionsTried int
	partitionRead   bool
	// reclaimed says for each pool partition whether everything that predecessors held
	// there was reclaimed.
	reclaimed      [poolPartitions]bool
	started        time.Time
	divideDelay    time.Duration // from the start to each account's divideFrom
	closed         bool
	lendingStopped bool // no more loans are given
	// closedHolders holds the final usage summaries of holders that closed, by holder.
	closedHolders map[string]usageSummary
	// era is that of the table, firstEra the first one that this process has known, and
	// eraEnteredAt when era began for it. heard is what is known of the VMs.
	era, firstEra int64
	eraEnteredAt  time.Time
	heard         map[string]heardOf
	// tableReachedAt is when the table last answered.
	tableReachedAt time.Time
	// primary and fallback are the rows of this holder's reports; see fallback.go. Each
	// is used by one goroutine only.
	primary, fallback reportRow
	// primaryWrittenAt is when the primary row was last written. fallbackActive says that
	// the fallback row may be in force.
	primaryWrittenAt  time.Time
	fallbackActive    bool
	fallbackPartition int // partition of the fallback row
	// loans are the outstanding loans to other VMs, by id. unresponsiveUntil is the time
	// until which a VM that did not answer is not asked for one.
	loans             map[uint64]outstandingLoan
	unresponsiveUntil map[string]time.Time
	// borrowed and lent count loans.
	borrowed, lent int64
	// writtenOff is what this process wrote off for its predecessors on the VM.
	writtenOff Losses
	reportedAt time.Time
	// failedReports counts consecutive failures of the primary report, reportTriedAt is
	// when it was last tried. Only keepReports uses them.
	failedReports int
	reportTriedAt time.Time
	// publishedUsage is the content of the last usage summary, publishedAt its time. Only
	// follow uses them.
	publishedUsage map[string]usage
	publishedEra   int64
	publishedAt    time.Time
}

// New returns a manager that has no grants until Run has read the table.
func New(o Options) *Manager {
	return &Manager{
		primary:           reportRow{key: reportKeyPrefix(o.VM) + o.Incarnation, bounds: primaryBoundsOf},
		fallback:          reportRow{key: fallbackKeyPrefix(o.VM, 0) + o.Incarnation, version: -1, bounds: fallbackBoundsOf},
		options:           o,
		self:              holderName(o.VM, o.Incarnation),
		reportWanted:      make(chan struct{}, 1),
		grantWanted:       make(chan struct{}, 1),
		eraEntered:        make(chan struct{}, 1),
		accounts:          map[string]*account{},
		closedHolders:     map[string]usageSummary{},
		heard:             map[string]heardOf{},
		loans:             map[uint64]outstandingLoan{},
		unresponsiveUntil: map[string]time.Time{},
		started:           time.Now(),
		divideDelay:       startupDelay + jitter(startupJitter),
	}
}

// account returns the account of a budget and sets its limit.
func (m *Manager) account(budget string, limit int64) *account {
	a := m.accounts[budget]
	if a == nil {
		a = newAccount(budget)
		a.divideFrom = m.started.Add(m.divideDelay)
		a.era, a.merged = m.era, true // it knows nothing
		m.accounts[budget] = a
		a.limit = limit
	}
	a.setLimit(m.self, limit, m.sharing(a).Holders)
	return a
}

// setLimit sets the prepaid limit. A lower one takes effect at once, before the pool
// reflects it: each holder keeps to its part of what is left.
func (a *account) setLimit(self string, limit int64, holders int) {
	if limit >= a.limit {
		if a.loweredGrant >= 0 && limit > a.limit {
			a.loweredGrant = -1
		}
		a.limit = limit
		return
	}
	spent := a.pool.Settled + a.pool.Lost
	scaled := a.grant()
	if a.limit > spent {
		scaled = int64(float64(a.grant()) * float64(max(0, limit-spent)) / float64(a.limit-spent))
	}
	rest := max(0, limit-a.consumed(self)-a.pool.Lost)
	a.loweredGrant = min(scaled, a.settled+rest/int64(max(holders, len(a.pool.Holders), 1)))
	a.limit = limit
}

// SetLimits sets the prepaid limits of all budgets in tokens, so that grants can be taken
// before the first request. Beyond the first eagerBudgets, a budget gets a grant on its
// first request.
func (m *Manager) SetLimits(limits map[string]int64) {
	m.mu.Lock()
	for budget, limit := range limits {
		if _, known := m.accounts[budget]; known || len(m.accounts) < eagerBudgets {
			m.account(budget, limit)
		}
	}
	m.mu.Unlock()
	m.requestUpkeep()
}

// eagerBudgets is how many budgets a holder takes grants of before any request. Without a
// grant a VM that is disconnected from the table has to refuse; with grants of all
// 820,000 budgets the table would be full of grants that nobody uses.
const eagerBudgets = 256

// sharing returns which VMs hold a budget. The caller holds m.mu.
func (m *Manager) sharing(a *account) Sharing {
	if m.options.Sharing == nil {
		return sharedByAll(m.options.VMs())
	}
	s := m.options.Sharing(a.budget)
	if !s.Holds {
		a.mainUser = a.isMainUser(m.self, time.Now())
		s.Holds = a.mainUser
	}
	return s
}

func (m *Manager) requestUpkeep() {
	notify(m.reportWanted)
	notify(m.grantWanted)
}

func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default: // a signal is pending already
	}
}

// Stats are sums over all budgets, in tokens, for metrics.
type Stats struct {
	Granted, Settled, Open, Lost int64
	Budgets                      int
	// Borrowed and Lent count loans since the start, OpenLoans the outstanding loans to
	// other VMs.
	Borrowed, Lent int64
	OpenLoans      int
	// WrittenOff is what this process wrote off for its predecessors on its VM.
	WrittenOff Losses
}

// Stats returns the current sums.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Stats{Borrowed: m.borrowed, Lent: m.lent, OpenLoans: len(m.loans), WrittenOff: m.writtenOff}
	for _, a := range m.accounts {
		s.Budgets++
		s.Granted += a.granted
		s.Settled += a.settled
		s.Open += a.open
		s.Lost += a.pool.Lost
	}
	return s
}

// noteTableReply records the time of a successful table call.
func (m *Manager) noteTableReply(err error) {
	if err != nil {
		return
	}
	m.mu.Lock()
	m.tableReachedAt = time.Now()
	m.mu.Unlock()
}

func logFailure(step string, err error) {
	klog.Warningf("step=%s result=failed err=%q", step, err.Error())
}
