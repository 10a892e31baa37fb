package quarantine

import (
	"context"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"buckthornridge/pause"
	"buckthornridge/store"
)

// Segment is the segment of the platform's table that holds a row with the record of each
// router.
const Segment = "quarantine"

const (
	// expiryInterval is the time between two removals of expired observations.
	expiryInterval = time.Minute
	// publishTimeout bounds one call to the table.
	publishTimeout = 800 * time.Millisecond
	// retryDelay is the time before a record that could not be written is written again.
	retryDelay = 200 * time.Millisecond
	// minPublishInterval is the least time between two writes of one router. All routers
	// together write at most once in intervalPerRouter.
	minPublishInterval = 100 * time.Millisecond
	intervalPerRouter  = 8 * time.Millisecond
)

// Key returns the key of a router's row.
func Key(router string) string { return Segment + "/" + router }

// Decode returns the router and the record of a row.
func Decode(key string, value []byte) (router string, r Record, err error) {
	router = strings.TrimPrefix(key, Segment+"/")
	if len(value) > 0 {
		err = msgpack.Unmarshal(value, &r)
	}
	return router, r, err
}

// Encode returns the value of a router's row.
func Encode(r Record) ([]byte, error) { return msgpack.Marshal(r) }

// ApplyChanges applies changed rows of Segment to the table.
func (t *Table) ApplyChanges(changes []store.Change) {
	for _, change := range changes {
		router, record, err := Decode(change.Key, change.Value)
		if err != nil {
			klog.Warningf("step=read_quarantine router=%s result=left_out err=%q", router, err.Error())
			continue
		}
		t.Apply(router, record)
	}
}

// Publisher writes the own observations of a table to the row of its router.
type Publisher struct {
	Rows     store.Table
	Evidence *Table
	// Router is the name of this router, the same for successive processes.
	Router string
	// Routers returns how many routers there are.
	Routers func() int
	// Renew, if set, asks for the record to be written again: the table has lost rows.
	Renew <-chan struct{}

	row   store.Row // as last known
	known bool      // row is as the table has it
	began bool      // the record of an earlier process was adopted
}

// Run publishes each change until the context ends.
func (p *Publisher) Run(ctx context.Context) {
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	for {
		select {
		case <-p.Evidence.Changed():
			p.publishUntilDone(ctx)
			interval := max(minPublishInterval, time.Duration(p.Routers())*intervalPerRouter)
			p.Evidence.setPublishInterval(interval)
			_ = pause.For(ctx, interval)
		case <-p.Renew:
			if p.began {
				p.known = false
				p.publishUntilDone(ctx)
			}
		case <-expiry.C:
			p.Evidence.Expire()
		case <-ctx.Done():
			return
		}
	}
}

func (p *Publisher) publishUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.publish(ctx)
		if err == nil {
			return
		}
		klog.Warningf("step=publish_quarantine result=failed err=%q", err.Error())
		p.known = false
		_ = pause.For(ctx, retryDelay)
	}
}

// publish writes the record on the condition that the row is as it was last known, since
// an earlier write whose response was lost may still take effect.
func (p *Publisher) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if !p.known {
		if err := p.read(ctx); err != nil {
			return err
		}
	}
	value, err := Encode(p.Evidence.Record())
	if err != nil {
		return err
	}
	version, err := p.Rows.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: Key(p.Router), Version: p.row.Version}},
		Writes:     []store.Write{{Key: Key(p.Router), Value: value}},
	})
	p.row.Version = version
	return err
}

// read reads the own row, and at first adopts what an earlier process has observed.
func (p *Publisher) read(ctx context.Context) error {
	rows, err := p.Rows.Read(ctx, Key(p.Router))
	if err != nil {
		return err
	}
	p.row, p.known = rows[0], true
	if p.began {
		return nil
	}
	p.began = true
	_, record, err := Decode(p.row.Key, p.row.Value)
	if err != nil {
		klog.Warningf("step=read_quarantine router=%s result=left_out err=%q", p.Router, err.Error())
		return nil
	}
	p.Evidence.Adopt(record)
	return nil
}
