package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"buckthornridge/store"
)

// Timers of the ways that were weighed against gossip: a lease lapses after
// timerTTL and is renewed each third of it.
const (
	timerTTL   = 15 * time.Second
	renewEvery = timerTTL / 3
)

// timers are processes that prove they live by writes to the table.
type timers struct {
	nodes, leases int // leases of one process
	perLease      bool
	batch         int // rows of one transaction
}

// writes is what the platform's table saw each second.
type writes struct{ txns, rows float64 }

// measure runs the timers in virtual time against the fake table.
func (c timers) measure(t *testing.T) (w writes) {
	synctest.Test(t, func(t *testing.T) {
		fake := store.NewFake(store.FakeOptions{})
		renewals := 4
		for range renewals {
			for n := range c.nodes {
				c.renew(t, fake.As(fmt.Sprint(n)).Table, n)
			}
			time.Sleep(renewEvery)
		}
		elapsed := (time.Duration(renewals) * renewEvery).Seconds()
		counted := fake.Counters()
		w = writes{txns: float64(counted.Txns) / elapsed, rows: float64(counted.RowsWritten) / elapsed}
	})
	return w
}

// renew writes one process's row or the rows of all its leases.
func (c timers) renew(t *testing.T, table store.Table, n int) {
	rows := 1
	if c.perLease {
		rows = c.leases
	}
	for from := 0; from < rows; from += c.batch {
		var txn store.Txn
		for i := from; i < min(rows, from+c.batch); i++ {
			key := fmt.Sprintf("lease/%04d/%06d", n, i)
			txn.Writes = append(txn.Writes, store.Write{Key: key, Value: []byte("until")})
		}
		if _, err := table.Commit(t.Context(), txn); err != nil {
			t.Error(err)
		}
	}
}

// A timer for each lease costs writes in proportion to the leases held, one for
// each process in proportion to the processes alone.
func TestWritesOfTimers(t *testing.T) {
	is := is.New(t)
	few, many := timers{nodes: 9, leases: 10, batch: 1}, timers{nodes: 9, leases: 40, batch: 1}
	is.Equal(few.measure(t), many.measure(t))
	few.perLease, many.perLease = true, true
	is.Equal(4*few.measure(t).rows, many.measure(t).rows)
}

func TestMeasureWrites(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, nodes := range []int{9, 340} {
		for _, leases := range []int{100, 2400} {
			for _, c := range []timers{
				{perLease: true, batch: 1},
				{perLease: true, batch: store.MaxTxnRows},
				{batch: 1},
			} {
				c.nodes, c.leases = nodes, leases
				w := c.measure(t)
				t.Logf("%3d processes, %4d leases each, timer per lease %5t, batch %3d: %8.1f transactions/s, %8.1f rows/s",
					nodes, leases, c.perLease, c.batch, w.txns, w.rows)
			}
		}
		list, err := json.Marshal(append(vmsOf(nodes), vmsOf(nodes)...))
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("VM list of %d routers and as many controls: %d bytes", nodes, len(list))
	}
}
