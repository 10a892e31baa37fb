package traffic

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"buckthornridge/bubble"
)

const queueRate = 1e6 // bytes a second

// drain plays a queue until a time and returns which transfers began, in their order, and how
// many expired.
func drain(q *transferQueue, from time.Time, length time.Duration) (begun []*queuedTransfer, late int) {
	for at := from; at.Before(from.Add(length)); at = at.Add(time.Millisecond) {
		now, expired := q.take(at)
		begun, late = append(begun, now...), late+len(expired)
	}
	return begun, late
}

func waitingFor(class int, flow string, bytes int64, deadline time.Time) *queuedTransfer {
	return &queuedTransfer{Transfer: Transfer{Class: class, Flow: flow, Bytes: bytes, Deadline: deadline}}
}

// Load: four times what the link carries, a quarter of it of the most urgent class. All of that
// class passes, the link is used, and what passes takes no more than its share.
func TestUrgentTransfersPassAFullLink(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	q := newTransferQueue(queueRate, start)
	const size, length = 9000, 4 * time.Second
	passed := map[int]int64{}
	next := start
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Millisecond) {
		for !next.After(at) { // 4 MB a second
			n := next.Sub(start) / (size * time.Second / (4 * queueRate))
			class := 1
			if n%5 == 0 {
				class = 0
			}
			q.add(waitingFor(class, fmt.Sprint("w", n%7), size, at.Add(time.Second)))
			next = next.Add(size * time.Second / (4 * queueRate))
		}
		begun, _ := q.take(at)
		for _, one := range begun {
			passed[one.Class] += one.Bytes
		}
	}
	total := passed[0] + passed[1]
	offered := int64(4 * queueRate * length.Seconds() / 5)
	is.True(float64(passed[0]) >= 0.95*float64(offered)) // 0.8 MB a second of 0.9
	is.True(float64(total) >= 0.85*queueRate*length.Seconds())
	is.True(float64(total) <= queueRate*length.Seconds())
}

// Load: one workspace asks for ten times as much as another of the same class. The other gets
// all that it asks for.
func TestFlowsShareALink(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	q := newTransferQueue(queueRate, start)
	got := map[string]int64{}
	for i := range 2000 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		q.add(waitingFor(1, "many", 2000, at.Add(time.Second)))
		if i%10 == 0 {
			q.add(waitingFor(1, "few", 2000, at.Add(time.Second)))
		}
		begun, _ := q.take(at)
		for _, one := range begun {
			got[one.Flow] += one.Bytes
		}
	}
	is.True(got["few"] >= 198*2000) // all but the last few
	is.True(got["many"] > 3*got["few"])
}

// Guards against bodies that cross a link for callers that have left: what has no turn before its
// deadline never begins, and those behind it do not wait for it.
func TestTransfersExpire(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	q := newTransferQueue(queueRate, start)
	q.credit = -queueRate // busy for a second
	q.add(waitingFor(0, "a", 1000, start.Add(500*time.Millisecond)))
	q.add(waitingFor(1, "b", 1000, start.Add(2*time.Second)))
	begun, late := drain(&q, start, 1500*time.Millisecond)
	is.Equal(late, 1)
	is.Equal(len(begun), 1)
	is.Equal(begun[0].Flow, "b")
	_, any := q.untilNext(start)
	is.True(!any)
}

// Other traffic is taken off what is given out, but never all of it.
func TestUnpacedTrafficGoesFirst(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	q := newTransferQueue(queueRate, start)
	for _, c := range []struct{ other, share float64 }{{0, 0.9}, {0.4 * queueRate, 0.5}, {2 * queueRate, minPacedShare}} {
		q.setUnpaced(c.other, start)
		is.True(q.rate > (c.share-0.001)*queueRate && q.rate < (c.share+0.001)*queueRate)
	}
}

// Guards against a caller that leaves while it waits, and whose turn would be lost to others.
func TestAcquireEndsWithItsContext(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := NewPacer(8)
		is.NoErr(p.Acquire(t.Context(), Transfer{Bytes: 1 << 20})) // takes a second
		ctx, cancel := contextFor(t, 100*time.Millisecond)
		defer cancel()
		is.True(p.Acquire(ctx, Transfer{Bytes: 10}) != nil)
		is.Equal(p.Stats().Waiting, 0)
		is.Equal(p.Acquire(t.Context(), Transfer{Bytes: 10, Deadline: time.Now().Add(100 * time.Millisecond)}), ErrTooLate)
		began := time.Now()
		is.NoErr(p.Acquire(t.Context(), Transfer{Bytes: 10}))
		is.True(time.Since(began) > 800*time.Millisecond)
		is.Equal(p.Stats().Late, int64(1))
		var none *Pacer
		is.NoErr(none.Acquire(t.Context(), Transfer{Bytes: 10}))
	})
}
