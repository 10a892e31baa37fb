package placement

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/store"
	"buckthornridge/upstream"
)

// Keys of the rows in the platform table.
const (
	fenceKey = "placement/fence"
	planKey  = "placement/plan"
)

// ErrFenced reports that another reconciler acquired a newer fencing token: this
// one must not change engines.
var ErrFenced = eris.New("placement: another reconciler holds a newer fencing token")

// EngineClient sends engines their desired state.
type EngineClient interface {
	SendDesiredState(ctx context.Context, engineID string, state upstream.DesiredState) error
}

// fenceRow is the value of the row that holds the newest fencing token.
type fenceRow struct {
	Token  int64  `json:"number"`
	Holder string `json:"holder"`
}

// Reconciler commits placement plans and sets the desired state of engines. Leader
// election decides which control process runs one. Several at once are safe, since
// each plan is committed on the condition that the fence row is unchanged since
// this reconciler acquired it. It is not safe for concurrent use.
type Reconciler struct {
	table        store.Table
	client       EngineClient
	holder       string
	token        int64 // fencing token sent to engines; 0 unless acquired
	fenceVersion int64 // of the fence row
	plan         Plan
	lastSent     map[string]time.Time // by engine ID
}

// NewReconciler returns a reconciler that acquires fencing tokens under the name
// holder, which must be unique among all processes.
func NewReconciler(table store.Table, client EngineClient, holder string) *Reconciler {
	return &Reconciler{table: table, client: client, holder: holder, lastSent: map[string]time.Time{}}
}

// Acquire takes the next fencing token and reads the current plan. From then on
// Reconcile of every earlier reconciler fails with ErrFenced.
func (r *Reconciler) Acquire(ctx context.Context) error {
	rows, err := r.table.Read(ctx, fenceKey, planKey)
	if err != nil {
		return eris.Wrap(err, "read placement rows")
	}
	var fence fenceRow
	if err := decode(rows[0], &fence); err != nil {
		return err
	}
	var plan Plan
	if err := decode(rows[1], &plan); err != nil {
		return err
	}
	acquired := fenceRow{Token: fence.Token + 1, Holder: r.holder}
	version, err := r.commit(ctx, store.Txn{
		Conditions: []store.Condition{
			{Key: fenceKey, Version: rows[0].Version},
			{Key: planKey, Version: rows[1].Version},
		},
		Writes: []store.Write{{Key: fenceKey, Value: encode(acquired)}},
	})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		version, err = r.readBack(ctx, acquired, err)
	}
	if err != nil {
		return err
	}
	r.token, r.fenceVersion, r.plan = acquired.Token, version, plan
	return nil
}

// readBack reads the fence row after a write with an unknown outcome and returns
// the row's version if the write took effect. If it has not, readBack returns
// commitErr: the next Acquire writes a new token, and the delayed write then fails on its
// condition.
func (r *Reconciler) readBack(ctx context.Context, acquired fenceRow, commitErr error) (int64, error) {
	rows, err := r.table.Read(ctx, fenceKey)
	if err != nil {
		return 0, eris.Wrap(err, "read back fence row")
	}
	var current fenceRow
	if err := decode(rows[0], &current); err != nil {
		return 0, err
	}
	if current != acquired {
		return 0, commitErr
	}
	return rows[0].Version, nil
}

func (r *Reconciler) commit(ctx context.Context, txn store.Txn) (int64, error) {
	version, err := r.table.Commit(ctx, txn)
	if errors.Is(err, store.ErrConditionFailed) {
		return 0, ErrFenced
	}
	return version, eris.Wrap(err, "commit placement rows")
}

// Reconcile computes the next plan from the engines' reports, commits it if it
// changed, and sends the desired state to each engine that differs from the plan.
// After ErrFenced no engine was called and Acquire is needed. After
// other errors engines may differ from the plan until a later call.
func (r *Reconciler) Reconcile(ctx context.Context, in Input) (Plan, error) {
	if r.token == 0 {
		return Plan{}, ErrFenced
	}
	in.Previous = r.plan.Targets
	next := ComputePlan(in)
	if err := r.commitPlan(ctx, next); err != nil {
		return Plan{}, err
	}
	r.plan = next
	return next, r.sendDesiredStates(ctx, in.Engines)
}

// commitPlan commits a changed plan. For an unchanged plan it only checks that no
// other reconciler has acquired the fence row.
func (r *Reconciler) commitPlan(ctx context.Context, next Plan) error {
	if string(encode(next)) != string(encode(r.plan)) {
		_, err := r.commit(ctx, store.Txn{
			Conditions: []store.Condition{{Key: fenceKey, Version: r.fenceVersion}},
			Writes:     []store.Write{{Key: planKey, Value: encode(next)}},
		})
		if errors.Is(err, ErrFenced) {
			r.token = 0
		}
		return err
	}
	rows, err := r.table.Read(ctx, fenceKey)
	if err != nil {
		return eris.Wrap(err, "read fence row")
	}
	if rows[0].Version != r.fenceVersion {
		r.token = 0
		return ErrFenced
	}
	return nil
}

// resendInterval is how long an engine may take to reach its desired state before
// it is sent again.
const resendInterval = 10 * time.Second

// sendDesiredStates sends the desired state to each engine that differs from the
// plan. It compares the plan with the engines' reports and not with what it sent:
// an engine that ignores fencing tokens may since have applied a delayed desired
// state of an earlier reconciler.
func (r *Reconciler) sendDesiredStates(ctx context.Context, engines []Engine) error {
	var errs error
	now := time.Now()
	for _, e := range engines {
		target, planned := r.plan.Targets[e.ID]
		if !planned || e.Unresponsive || sameModels(e.Models, target) {
			continue
		}
		if last, sent := r.lastSent[e.ID]; sent && now.Sub(last) < resendInterval {
			continue
		}
		r.lastSent[e.ID] = now
		desired := upstream.DesiredState{Fence: r.token, Models: target}
		if err := r.client.SendDesiredState(ctx, e.ID, desired); err != nil {
			errs = errors.Join(errs, eris.Wrapf(err, "send desired state to engine %s", e.ID))
		}
	}
	return errs
}

func sameModels(reported, target []string) bool {
	sorted := slices.Clone(reported)
	slices.Sort(sorted)
	return slices.Equal(sorted, target)
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package can always be marshalled
	}
	return data
}

func decode(row store.Row, into any) error {
	if row.Version == 0 {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(row.Value, into), "decode table row %s", row.Key)
}
