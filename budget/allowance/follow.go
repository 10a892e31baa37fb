package allowance

import (
	"context"
	"errors"
	"strings"
	"time"

	"buckthornridge/store"
)

// follow reads what other holders have and use and publishes the same of this holder, so
// that grants follow use.
func (m *Manager) follow(ctx context.Context) {
	version := int64(-1)
	for m.awaitFollow(ctx) {
		m.publishSummary(ctx)
		changes, err := m.poll(ctx, version)
		m.noteTableReply(err)
		if err != nil {
			if errors.Is(err, store.ErrHistoryLost) {
				version = -1
			}
			continue
		}
		version = changes.Version
		m.applyChanges(changes.Changes)
	}
}

// awaitFollow waits for the next read: other holders need to hear at once that this one has
// entered an era. It returns false once the context ends.
func (m *Manager) awaitFollow(ctx context.Context) bool {
	timer := time.NewTimer(m.followPause())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.eraEntered:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// followPause returns the time until the next read.
func (m *Manager) followPause() time.Duration {
	if m.isAwaiting() {
		return eraFollowInterval
	}
	return followInterval
}

func (m *Manager) poll(ctx context.Context, version int64) (store.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	if version < 0 {
		return m.options.Feed.All(ctx, segment)
	}
	return m.options.Feed.Since(ctx, segment, version, 0)
}

// applyChanges takes over changed rows of pools and usage summaries.
func (m *Manager) applyChanges(changes []store.Change) {
	for _, change := range changes {
		switch {
		case change.Deleted:
			m.forgetClosed(change.Key)
		case strings.HasPrefix(change.Key, poolPrefix):
			m.applyPool(change.Row)
		case strings.HasPrefix(change.Key, summaryPrefix):
			m.applySummary(change.Row)
		}
	}
}

// forgetClosed drops a closed holder whose usage summary the next process on its VM has
// deleted.
func (m *Manager) forgetClosed(key string) {
	if !strings.HasPrefix(key, summaryPrefix) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.closedHolders, holderOfSummary(key))
}

func (m *Manager) applyPool(row store.Row) {
	m.mu.Lock()
	a := m.accounts[budgetOf(row.Key)]
	m.mu.Unlock()
	if a != nil {
		m.applyPoolRow(a, row)
	}
}
