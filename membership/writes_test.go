package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
	"buckthornridge/store"
)

// Timing of the alternatives to gossip: a lease expires after leaseTTL and is
// renewed after a third of it.
const (
	leaseTTL      = 15 * time.Second
	renewInterval = leaseTTL / 3
)

// leaseTimers describes processes that show that they are live by renewing leases
// in the table.
type leaseTimers struct {
	nodes, leases int // leases of one process
	perLease      bool
	batch         int // rows of one transaction
}

// writeRates are the transactions and rows per second at the platform's table.
type writeRates struct{ txns, rows float64 }

// measure runs the renewals in virtual time against the fake table.
func (c leaseTimers) measure(t *testing.T) (w writeRates) {
	bubble.Test(t, func(t *testing.T) {
		fake := store.NewFake(store.FakeOptions{})
		renewals := 4
		for range renewals {
			for n := range c.nodes {
				c.renew(t, fake.As(fmt.Sprint(n)).Table, n)
			}
			time.Sleep(renewInterval)
		}
		elapsed := (time.Duration(renewals) * renewInterval).Seconds()
		counted := fake.Counters()
		w = writeRates{txns: float64(counted.Txns) / elapsed, rows: float64(counted.RowsWritten) / elapsed}
	})
	return w
}

// renew writes one process's row or the rows of all its leases.
func (c leaseTimers) renew(t *testing.T, table store.Table, n int) {
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

// With one renewal per lease the number of written rows is proportional to the
// leases held. With one per process it depends on the number of processes alone.
func TestLeaseWritesScale(t *testing.T) {
	is := is.New(t)
	few, many := leaseTimers{nodes: 9, leases: 10, batch: 1}, leaseTimers{nodes: 9, leases: 40, batch: 1}
	is.Equal(few.measure(t), many.measure(t))
	few.perLease, many.perLease = true, true
	is.Equal(4*few.measure(t).rows, many.measure(t).rows)
}

func TestMeasureLeaseWrites(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, nodes := range []int{9, 340} {
		for _, leases := range []int{100, 2400} {
			for _, c := range []leaseTimers{
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
