package ctl

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/explain"
)

// explainCommand reads logs of entry processes. It asks no process.
type explainCommand struct {
	Words   []string      `arg:"positional,required" placeholder:"[ID] LOG" help:"the request's id and log files; with --summary log files alone"`
	Summary bool          `arg:"--summary" help:"sort all requests by cause"`
	Late    time.Duration `arg:"--late" help:"first bytes that came later are sorted by upstream" default:"500ms"`
}

func (c *explainCommand) run(_ context.Context, s session) error {
	if c.Summary {
		summary := explain.Summary{Late: c.Late}
		if err := readLogs(c.Words, summary.Add); err != nil {
			return err
		}
		summary.Write(s.out)
		return nil
	}
	if len(c.Words) < 2 {
		return eris.New("an id and a log file are needed, or --summary")
	}
	found := false
	err := readLogs(c.Words[1:], func(r explain.Record) {
		if r.ID == c.Words[0] {
			found = true
			r.Write(s.out)
		}
	})
	if err == nil && !found {
		err = eris.Errorf("no line of request %s in these logs", c.Words[0])
	}
	return err
}

func readLogs(names []string, each func(explain.Record)) error {
	for _, name := range names {
		if err := readLog(name, each); err != nil {
			return eris.Wrap(err, name)
		}
	}
	return nil
}

func readLog(name string, each func(explain.Record)) error {
	file, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer file.Close()
	return explain.Read(file, each)
}
