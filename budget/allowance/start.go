package allowance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"buckthornridge/store"
)

// maxReports bounds the reports of ended processes that are read at a start.
const maxReports = 64

// leftover is what earlier processes on this VM left in the table.
type leftover struct {
	rows    []store.Row // their reports
	reports map[string]report
	spare   map[string]report // those of the spare rows
	pools   []store.Row
	// ended is a time of the table by which all earlier processes had ended.
	ended time.Duration
}

// open reads what earlier processes held. Requests are served from new grants
// from then on.
func (b *Book) open(ctx context.Context) (leftover, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	asked := time.Now()
	rows, err := b.scanReports(ctx)
	if err != nil {
		return leftover{}, err
	}
	clock, known := b.options.Clock.Now()
	if !known {
		return leftover{}, eris.New("the table's time is not known")
	}
	// The answer's time is later than the question, and the question later than the
	// start of this process by what has passed since. A process that starts while it
	// is cut off thus counts nothing for the time of the cut.
	ended := clock - asked.Sub(b.started)
	var (
		spareRows, standings []store.Row
		spare                map[string]report
		reading              sync.WaitGroup
	)
	reading.Go(func() { spareRows, spare = b.readSpare(ctx) })
	reading.Go(func() { standings = b.oldStandings(ctx) })
	pools, err := b.scanPools(ctx)
	reading.Wait()
	b.answered(err)
	if err != nil {
		return leftover{}, eris.Wrap(err, "read pools")
	}
	reports, err := b.decodeReports(rows)
	if err != nil {
		return leftover{}, err
	}
	b.mu.Lock()
	b.ready = true
	b.mu.Unlock()
	for _, row := range pools {
		b.learnPool(row)
	}
	return leftover{
		rows: slices.Concat(rows, spareRows, standings), reports: reports, spare: spare, pools: pools, ended: ended,
	}, nil
}

// scanReports reads the reports that stand for this VM, those of the release before
// included.
func (b *Book) scanReports(ctx context.Context) ([]store.Row, error) {
	var all []store.Row
	for _, prefix := range []string{reportsOf(b.options.VM), followedReportsOf(b.options.VM)} {
		rows, err := b.options.Table.Scan(ctx, prefix, "", maxReports)
		if err != nil {
			return nil, eris.Wrap(err, "read reports")
		}
		all = append(all, rows...)
	}
	return all, nil
}

// oldStandings returns the standings of earlier processes on this VM, to be deleted. The
// next process finds what this one can't read.
func (b *Book) oldStandings(ctx context.Context) []store.Row {
	rows, err := b.options.Table.Scan(ctx, standingsOf(b.options.VM), "", maxReports)
	if err != nil {
		logFailure("read old standings", err)
	}
	return rows
}

// scanPools reads all pools, their parts at once: callers wait for it.
func (b *Book) scanPools(ctx context.Context) ([]store.Row, error) {
	var (
		mu    sync.Mutex
		pools []store.Row
	)
	group, ctx := errgroup.WithContext(ctx)
	for bucket := range buckets {
		group.Go(func() error {
			rows, err := b.scanPart(ctx, poolPart(uint64(bucket)))
			mu.Lock()
			defer mu.Unlock()
			pools = append(pools, rows...)
			return err
		})
	}
	return pools, group.Wait()
}

// scanPart reads all rows whose keys begin with a part.
func (b *Book) scanPart(ctx context.Context, part string) ([]store.Row, error) {
	var all []store.Row
	after := ""
	for {
		rows, err := b.options.Table.Scan(ctx, part, after, scanRows)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < scanRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// scanRows is how many rows one call reads.
const scanRows = 500

func (b *Book) decodeReports(rows []store.Row) (map[string]report, error) {
	earlier := map[string]report{}
	for _, row := range rows {
		incarnation := lastOf(row.Key)
		if incarnation == b.options.Incarnation {
			continue
		}
		r, err := decodeReport(row.Value)
		if err != nil {
			return nil, eris.Wrapf(err, "report of incarnation %s", incarnation)
		}
		earlier[incarnation] = r
	}
	return earlier, nil
}
