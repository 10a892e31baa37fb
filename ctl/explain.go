package ctl

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/explain"
)

// explainCommand reads log files of edge processes. It sends no requests.
type explainCommand struct {
	Words   []string      `arg:"positional,required" placeholder:"[ID] LOG" help:"the request's id and log files; with --summary log files alone"`
	Summary bool          `arg:"--summary" help:"sort all requests by cause"`
	Every   time.Duration `arg:"--every" help:"with --summary: outcomes and causes by time, in rows of this length"`
	Late    time.Duration `arg:"--late" help:"first bytes that came later are sorted by upstream" default:"500ms"`
}

func (c *explainCommand) run(_ context.Context, s commandEnv) error {
	if c.Every < 0 || c.Every > 0 && !c.Summary {
		return eris.New("--every must be over 0 and requires --summary")
	}
	if c.Summary {
		return c.summarize(s)
	}
	if len(c.Words) < 2 {
		return eris.New("a request id and a log file are required, or --summary")
	}
	found := false
	err := readLogs(c.Words[1:], explain.Visitor{OnRequest: func(r explain.RequestEntry) {
		if r.ID == c.Words[0] {
			found = true
			r.Write(s.out)
		}
	}})
	if err == nil && !found {
		err = eris.Errorf("these logs have no line of request %s", c.Words[0])
	}
	return err
}

// summarize counts all entries by cause and, with --every, by time.
func (c *explainCommand) summarize(s commandEnv) error {
	summary := explain.Summary{LateThreshold: c.Late}
	timeline := explain.Timeline{Interval: c.Every}
	var writeOffs explain.WriteOffSummary
	err := readLogs(c.Words, explain.Visitor{
		OnRequest: func(r explain.RequestEntry) {
			summary.Add(r)
			if c.Every > 0 {
				timeline.Add(r)
			}
		},
		OnWriteOff: func(e explain.WriteOffEntry) {
			writeOffs.Add(e)
			if c.Every > 0 {
				timeline.AddWriteOff(e)
			}
		},
	})
	if err != nil {
		return err
	}
	summary.Write(s.out)
	writeOffs.Write(s.out)
	if c.Every > 0 {
		timeline.Write(s.out)
	}
	return nil
}

func readLogs(names []string, v explain.Visitor) error {
	for _, name := range names {
		if err := readLog(name, v); err != nil {
			return eris.Wrap(err, name)
		}
	}
	return nil
}

func readLog(name string, v explain.Visitor) error {
	file, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer file.Close()
	return explain.Read(file, v)
}
