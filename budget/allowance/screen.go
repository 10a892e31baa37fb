package allowance

import "time"

// Screen tells by what is known at once whether a request could reserve its ceiling: covered
// says that this VM has the tokens. A refusal is certain; it is a *RefusedError. Nothing is
// reserved.
func (m *Manager) Screen(budget string, limit, ceiling int64) (covered bool, refusal error) {
	clock, _ := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(budget, limit)
	switch {
	case a.available(clock) >= ceiling:
		return true, nil
	case a.certainlyShort(ceiling, m.self):
		return false, &RefusedError{Budget: budget, Certain: true, Cause: CauseExhausted, Detail: "the rest of the budget does not cover the request"}
	}
	a.need, a.needAt = max(a.need, ceiling), time.Now()
	return false, nil
}
