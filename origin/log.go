package origin

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"buckthornridge/pause"
	"buckthornridge/store"
)

// Segment is the segment of the platform's table with the log, one row for each service.
const Segment = "versions"

const (
	// logInterval is the time between two comparisons of the log with the list.
	logInterval = 500 * time.Millisecond
	// logTimeout bounds one call to the table.
	logTimeout = 800 * time.Millisecond
)

// logRow says which versions a service has had.
type logRow struct {
	// Listed are the versions that were listed when the row was written.
	Listed []string `msgpack:"l"`
	// Since says since when the row has named each listed version, in milliseconds of the
	// table's clock. Rows of older routers lack it.
	Since map[string]int64 `msgpack:"t,omitempty"`
	// Gone are versions that left the list not long before, with the time in milliseconds
	// of the table's clock.
	Gone map[string]int64 `msgpack:"g"`
}

// Log keeps in the table which versions each service has had, for routers that start
// later. A row changes only when a version begins or ends to be listed.
type Log struct {
	Table   store.Table
	Feed    store.Feed
	Clock   store.Clock
	History *History
	// Writes reports whether this router is one of those that write the row of a service.
	Writes func(service string) bool
	// AskPeer asks another router for its history while the table does not answer.
	AskPeer func(ctx context.Context) (Ages, error)
	// Era returns the newest era of the table that is known. Nil: there is only one.
	Era func() int64

	rows map[string]store.Row // as last read or written, by service
	era  int64
	// renew holds the services whose rows are written again after a return of the table.
	renew map[string]bool
}

// Run reads the log and keeps it up to date until the context ends.
func (l *Log) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.step(ctx)
		if err != nil && ctx.Err() == nil {
			klog.V(1).Infof("step=version_log result=failed err=%q", err.Error())
			l.learnFromPeer(ctx)
		}
		_ = pause.For(ctx, logInterval)
	}
}

// step reads the log if its content is not known, and writes the rows that have changed.
func (l *Log) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if l.Era != nil && l.Era() > l.era {
		l.enterEra(l.Era())
	}
	// Versions that are not logged may have been written by another router since.
	if l.rows == nil || !l.History.allLogged() {
		if err := l.read(ctx); err != nil {
			return err
		}
	}
	now := time.Now()
	for service, versions := range l.History.Services(now) {
		if !l.Writes(service) || l.isCurrent(service) && !l.renew[service] {
			continue
		}
		if err := l.write(ctx, service, versions, now); err != nil {
			l.rows = nil // read again: another router may have written it
			return err
		}
	}
	return nil
}

// enterEra has all rows read and written again: the table has come back from a copy that may
// be older than they are.
func (l *Log) enterEra(era int64) {
	if l.era > 0 {
		l.renew = map[string]bool{}
		for service := range l.rows {
			l.renew[service] = true
		}
	}
	l.rows, l.era = nil, era
}

// learnFromPeer completes the history of a router that has started while the table does not
// answer.
func (l *Log) learnFromPeer(ctx context.Context) {
	now := time.Now()
	if l.AskPeer == nil || l.History.IsComplete(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	ages, err := l.AskPeer(ctx)
	if err != nil {
		klog.V(1).Infof("step=version_log from=peer result=failed err=%q", err.Error())
		return
	}
	l.History.LearnAges(ages, now)
}

func (l *Log) read(ctx context.Context) error {
	rows, err := l.Learn(ctx)
	if err != nil {
		return err
	}
	l.rows = rows
	return nil
}

// Learn reads the log into the history. It is safe for concurrent use.
func (l *Log) Learn(ctx context.Context) (rows map[string]store.Row, err error) {
	all, err := l.Feed.All(ctx, Segment)
	if err != nil {
		return nil, err
	}
	clock, known := l.Clock.Now()
	if !known {
		return nil, eris.New("origin: the table's clock is not known")
	}
	now := time.Now()
	rows = map[string]store.Row{}
	for _, change := range all.Changes {
		service := strings.TrimPrefix(change.Key, Segment+"/")
		rows[service] = change.Row
		r, err := decodeRow(change.Value)
		if err != nil {
			klog.Warningf("step=version_log service=%s result=left_out err=%q", service, err.Error())
			continue
		}
		l.History.Learn(service, r.lastListed(now, clock))
		l.History.Logged(service, r.loggedSince(now, clock))
	}
	l.History.Complete()
	return rows, nil
}

// loggedSince returns since when the row has named each listed version.
func (r logRow) loggedSince(now time.Time, clock time.Duration) map[string]time.Time {
	since := map[string]time.Time{}
	for _, v := range r.Listed {
		since[v] = time.Time{}
		if ms, said := r.Since[v]; said {
			since[v] = now.Add(min(0, time.Duration(ms)*time.Millisecond-clock))
		}
	}
	return since
}

// lastListed returns when each version was last listed, as far as the row tells.
func (r logRow) lastListed(now time.Time, clock time.Duration) map[string]time.Time {
	last := map[string]time.Time{}
	for _, v := range r.Listed {
		last[v] = now
	}
	for v, ms := range r.Gone {
		last[v] = now.Add(min(0, time.Duration(ms)*time.Millisecond-clock))
	}
	return last
}

func decodeRow(value []byte) (logRow, error) {
	var r logRow
	return r, msgpack.Unmarshal(value, &r)
}

// isCurrent reports whether the row of a service names the versions that are listed.
func (l *Log) isCurrent(service string) bool {
	r, err := decodeRow(l.rows[service].Value)
	return err == nil && slices.Equal(r.Listed, l.listed(service))
}

func (l *Log) listed(service string) []string {
	return slices.Sorted(maps.Keys(l.History.Present(service)))
}

// since returns since when the row of a service has named a version, by the table's clock.
func (l *Log) since(service, version string, clock time.Duration) int64 {
	old, err := decodeRow(l.rows[service].Value)
	if err != nil || !slices.Contains(old.Listed, version) {
		return clock.Milliseconds()
	}
	return old.Since[version] // 0, long ago, if the row's writer did not say it
}

func (l *Log) write(ctx context.Context, service string, versions map[string]time.Time, now time.Time) error {
	clock, known := l.Clock.Now()
	if !known {
		return eris.New("origin: the table's clock is not known")
	}
	r := logRow{Listed: l.listed(service), Gone: map[string]int64{}, Since: map[string]int64{}}
	for _, v := range r.Listed {
		r.Since[v] = l.since(service, v, clock)
	}
	for v, last := range versions {
		if !slices.Contains(r.Listed, v) {
			r.Gone[v] = (clock - now.Sub(last)).Milliseconds()
		}
	}
	value, err := msgpack.Marshal(r)
	if err != nil {
		return err
	}
	key := Segment + "/" + service
	old := l.rows[service]
	version, err := l.Table.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Version: old.Version}},
		Writes:     []store.Write{{Key: key, Value: value}},
	})
	if errors.Is(err, store.ErrConditionFailed) {
		klog.V(1).Infof("step=version_log service=%s result=changed_elsewhere", service)
	}
	if err != nil {
		return err
	}
	l.rows[service] = store.Row{Key: key, Value: value, Version: version}
	delete(l.renew, service)
	l.History.Logged(service, r.loggedSince(now, clock))
	klog.Infof("step=version_log service=%s listed=%q gone=%v", service, r.Listed, r.Gone)
	return nil
}
