package budget

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget/journal"
	"buckthornridge/budget/ledger"
	"buckthornridge/config"
	"buckthornridge/store"
)

// ErrBillPending reports that a bill is not durable yet, because the table does
// not answer. The bill stays queued and is written when the table is back; a
// crash of this router before that loses it, unless another router has a copy.
var ErrBillPending = eris.New("budget: bill pending")

// Recaller asks another holder to return idle tokens of a budget to the table. It
// is called for several holders concurrently.
type Recaller interface {
	Recall(ctx context.Context, holder string, id ID, want int64) (RecallReply, error)
}

// RecallReply is a holder's answer to a recall.
type RecallReply struct {
	// Given counts the tokens that were returned to the table.
	Given int64 `msgpack:"g"`
	// Reserved counts tokens that the holder's running requests may still use.
	Reserved int64 `msgpack:"r"`
}

// GrantManagerConfig configures a GrantManager.
type GrantManagerConfig struct {
	Table store.Table
	// Holder names this router's incarnation; see HolderName. It must be unique
	// among all processes, past and future.
	Holder string
	// Policy returns the policy in force.
	Policy func() config.BudgetPolicy
	// Recaller reaches the other holders; nil disables recalls.
	Recaller Recaller
	// Prefetch decides what a grant takes beyond what waiting requests need; nil
	// means PrefetchForDemand.
	Prefetch func(PrefetchInput) int64
	// Witnesses reaches the routers that record which holders are in outage mode;
	// nil disables outage mode.
	Witnesses Witnesses
	// Copier copies bills that the table does not accept to another router; nil
	// disables bill copies.
	Copier BillCopier
	// CommitInterval is the minimum time between two journal commits; 0 means
	// journal.DefaultInterval.
	CommitInterval time.Duration
}

// GrantManager holds one router's grants and decides what the router may dispatch.
type GrantManager struct {
	cfg        GrantManagerConfig
	journal    *journal.Writer
	outageMode *outageMode
	lastCopied atomic.Uint64 // number of the last copied bill; 0 if all were released

	numbers  atomic.Uint64 // of reservations and of table operations
	draining atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.RWMutex
	accounts map[ID]*account
}

// NewGrantManager returns a grant manager without grants. Start starts its tasks.
func NewGrantManager(cfg GrantManagerConfig) *GrantManager {
	ctx, cancel := context.WithCancel(context.Background())
	if cfg.Prefetch == nil {
		cfg.Prefetch = PrefetchForDemand
	}
	cfg.Table = ledger.WithTimeout(cfg.Table)
	return &GrantManager{
		cfg:        cfg,
		journal:    journal.NewWriter(cfg.Table, cfg.Holder, cfg.CommitInterval),
		ctx:        ctx,
		cancel:     cancel,
		accounts:   map[ID]*account{},
		outageMode: newOutageMode(),
	}
}

// Start creates the journal and starts the background tasks. Requests are refused
// until the journal exists.
func (m *GrantManager) Start(context.Context) error {
	m.spawn(func() { _ = m.journal.Run(m.ctx) })
	m.spawn(m.sweepLoop)
	if m.cfg.Witnesses != nil {
		m.spawn(m.leaveLoop)
	}
	if m.cfg.Copier != nil {
		m.spawn(m.copyLoop)
	}
	return nil
}

// Stop cancels all background tasks and waits for them. Tokens that are held stay
// so in the table until they are reclaimed; Drain returns them.
func (m *GrantManager) Stop() error {
	m.cancel()
	m.tasks.Wait()
	return nil
}

// Alive reports whether this holder may still dispatch. Once it turns false after
// a start it stays so: the journal is sealed, everything held is void, and a
// reservation that was not dispatched yet must not be.
func (m *GrantManager) Alive() bool { return m.journal.Alive() }

// Ready is closed once the journal exists and requests can be served.
func (m *GrantManager) Ready() <-chan struct{} { return m.journal.Ready() }

// Journal returns the holder's journal, from which pending bills are handed over.
func (m *GrantManager) Journal() *journal.Writer { return m.journal }

// Drain stops new reservations, returns idle tokens, and flushes and seals the
// journal. If ctx ends first because the table is down, pending bills remain in
// Journal().Pending() and can be handed over to another router.
func (m *GrantManager) Drain(ctx context.Context) error {
	m.draining.Store(true)
	returned := m.returnAll(ctx)
	if err := m.journal.Flush(ctx); err != nil {
		return errors.Join(returned, err)
	}
	return errors.Join(returned, m.journal.Seal(ctx))
}

func (m *GrantManager) spawn(task func()) {
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		task()
	}()
}

// account returns the account of a budget, creating it if needed.
func (m *GrantManager) account(id ID) *account {
	m.mu.RLock()
	acc := m.accounts[id]
	m.mu.RUnlock()
	if acc != nil {
		return acc
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if acc = m.accounts[id]; acc == nil {
		acc = newAccount(id)
		m.accounts[id] = acc
	}
	return acc
}

// lockAccount returns the budget's account, locked and not evicted.
func (m *GrantManager) lockAccount(id ID) *account {
	for {
		acc := m.account(id)
		acc.mu.Lock()
		if !acc.evicted {
			return acc
		}
		acc.mu.Unlock()
	}
}

// evict removes an account that holds nothing, so that unused budgets take no
// memory. The caller holds acc.mu.
func (m *GrantManager) evict(acc *account) {
	if acc.evicted || acc.listed || acc.busy || acc.acquiring || len(acc.waiters) > 0 || acc.idle != 0 || acc.reserved != 0 || acc.uncommitted != 0 {
		return
	}
	acc.evicted = true
	m.mu.Lock()
	delete(m.accounts, acc.id)
	m.mu.Unlock()
}

// snapshot lists the accounts.
func (m *GrantManager) snapshot() []*account {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]*account, 0, len(m.accounts))
	for _, acc := range m.accounts {
		all = append(all, acc)
	}
	return all
}
