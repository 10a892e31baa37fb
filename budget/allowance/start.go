package allowance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/pause"
	"buckthornridge/store"
)

// maxReports bounds the reports of ended processes that are read at a start.
const maxReports = 64

// predecessorState is what earlier processes on this VM left in the table.
type predecessorState struct {
	rows     []store.Row // their reports and usage summaries
	reports  map[string]report
	fallback map[string]report // those in the fallback rows
	// ended is a time of the table by which all predecessors had ended.
	ended time.Duration
}

// reclaimPredecessors reclaims what predecessors on this VM held. Pools are read
// partition by partition: an unavailable one delays its own budgets only. While the
// partition with the VM's reports is unavailable, the VM can still borrow, and take what
// is free.
func (m *Manager) reclaimPredecessors(ctx context.Context) {
	var (
		predecessors predecessorState
		partitions   sync.WaitGroup
	)
	read := make(chan struct{}) // closed once predecessors is set
	for partition := range poolPartitions {
		partitions.Go(func() {
			pools := m.readPartition(ctx, poolPartitionPrefix(uint64(partition)))
			readAt := time.Now()
			select {
			case <-read:
				m.reclaimPartition(ctx, partitionState{predecessorState: predecessors, pools: pools, readAt: readAt})
				m.markReclaimed(partition)
			case <-ctx.Done():
			}
		})
	}
	for wait := startBackoff; ; wait = min(2*wait, maxStartBackoff) {
		var err error
		if predecessors, err = m.readPredecessors(ctx); err == nil {
			break
		}
		logFailure("read what earlier processes held", err)
		if pause.For(ctx, wait/2+jitter(wait/2)) != nil {
			partitions.Wait()
			return
		}
	}
	close(read)
	partitions.Wait()
	m.deleteReports(ctx, predecessors.rows)
}

func (m *Manager) markReclaimed(partition int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reclaimed[partition] = true
}

// readPartition reads the pools of a partition and retries until it answers.
func (m *Manager) readPartition(ctx context.Context, prefix string) []store.Row {
	defer m.countPartitionTry(true)
	for wait := startBackoff; ; wait = min(2*wait, maxStartBackoff) {
		limited, cancel := context.WithTimeout(ctx, m.callTimeout())
		rows, err := m.scanPartition(limited, prefix)
		cancel()
		m.noteTableReply(err)
		if err == nil {
			for _, row := range rows {
				m.applyPool(row)
			}
			return rows
		}
		logFailure("read pools", err)
		m.countPartitionTry(false)
		if pause.For(ctx, wait/2+jitter(wait/2)) != nil {
			return nil
		}
	}
}

// countPartitionTry records that a partition's pools were read or did not answer. Once
// all were tried and one has answered, requests no longer wait for the predecessors'
// state.
func (m *Manager) countPartitionTry(read bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitionsTried++
	m.partitionRead = m.partitionRead || read
	if m.partitionRead && m.partitionsTried >= poolPartitions {
		m.ready = true
	}
}

// readPredecessors reads the reports of predecessors on this VM.
func (m *Manager) readPredecessors(ctx context.Context) (predecessorState, error) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	asked := time.Now()
	rows, err := m.scanReports(ctx)
	m.noteTableReply(err)
	if err != nil {
		return predecessorState{}, err
	}
	clock, known := m.options.Clock.Now()
	if !known {
		return predecessorState{}, eris.New("the table's time is not known")
	}
	var (
		fallbackRows, summaries []store.Row
		fallback                map[string]report
		reading                 sync.WaitGroup
	)
	reading.Go(func() { fallbackRows, fallback = m.readFallbacks(ctx) })
	reading.Go(func() { summaries = m.predecessorSummaries(ctx) })
	reading.Wait()
	reports, err := m.decodeReports(rows)
	if err != nil {
		return predecessorState{}, err
	}
	return predecessorState{
		rows: slices.Concat(rows, fallbackRows, summaries), reports: reports, fallback: fallback,
		// The table's time in the answer is later than the request, and the request was
		// sent asked-started after this process started. A process that starts while it is
		// disconnected thus counts nothing for the time of the disconnection.
		ended: clock - asked.Sub(m.started),
	}, nil
}

// scanReports reads the reports of this VM's processes, those of the previous release
// included.
func (m *Manager) scanReports(ctx context.Context) ([]store.Row, error) {
	var all []store.Row
	for _, prefix := range []string{reportKeyPrefix(m.options.VM), legacyReportKeyPrefix(m.options.VM)} {
		rows, err := m.options.Table.Scan(ctx, prefix, "", maxReports)
		if err != nil {
			return nil, eris.Wrap(err, "read reports")
		}
		all = append(all, rows...)
	}
	return all, nil
}

// predecessorSummaries returns the usage summaries of predecessors on this VM, to be
// deleted. If they can't be read, the next process deletes them.
func (m *Manager) predecessorSummaries(ctx context.Context) []store.Row {
	rows, err := m.options.Table.Scan(ctx, summaryKeyPrefix(m.options.VM), "", maxReports)
	if err != nil {
		logFailure("read old standings", err)
	}
	return rows
}

// scanPartition reads all rows with a key prefix.
func (m *Manager) scanPartition(ctx context.Context, prefix string) ([]store.Row, error) {
	var all []store.Row
	after := ""
	for {
		rows, err := m.options.Table.Scan(ctx, prefix, after, scanRows)
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

func (m *Manager) decodeReports(rows []store.Row) (map[string]report, error) {
	earlier := map[string]report{}
	for _, row := range rows {
		incarnation := lastKeyPart(row.Key)
		if incarnation == m.options.Incarnation {
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
