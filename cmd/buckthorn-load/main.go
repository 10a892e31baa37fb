// Command buckthorn-load is the load test tool. It sends requests to a running
// fleet, injects faults, checks every response and writes a report.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"buckthornridge/loadtool/plot"
	"buckthornridge/loadtool/report"
	"buckthornridge/loadtool/run"
	"buckthornridge/loadtool/scenario"
	"buckthornridge/program"
	"buckthornridge/settings"
)

type arguments struct {
	Run     *runCommand     `arg:"subcommand:run" help:"run a scenario against a fleet that is up"`
	List    *listCommand    `arg:"subcommand:list" help:"list the scenarios"`
	Compare *compareCommand `arg:"subcommand:compare" help:"show two reports side by side"`
	Plot    *plotCommand    `arg:"subcommand:plot" help:"draw reports as SVG or PNG"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "buckthorn-load sends requests, injects faults and checks the results."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "buckthorn-load " + program.BuildVersion() }

type command interface {
	run(ctx context.Context) error
}

// exitZeroThreshold is the exit code of a run that exceeded a zero threshold: one
// of the results that must be zero was not.
const exitZeroThreshold = 3

var errZeroThreshold = errors.New("a zero threshold was exceeded")

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("a subcommand is required")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := cmd.run(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, errZeroThreshold) {
		os.Exit(exitZeroThreshold)
	}
	os.Exit(1)
}

type runCommand struct {
	Scenario string `arg:"--scenario,required"`
	Seed     uint64 `arg:"--seed" default:"1"`
	Report   string `arg:"--report,required" help:"file to write"`
	Settings string `arg:"--settings,required" help:"file that says where the fleet is, JSON with comments"`
	Prefix   string `arg:"--prefix" default:"load" help:"start of all ids; a fleet that is used again needs another one"`
}

func (c *runCommand) run(ctx context.Context) error {
	selected, ok := scenario.Find(c.Scenario)
	if !ok {
		return eris.Errorf("unknown scenario %q; buckthorn-load list prints the known ones", c.Scenario)
	}
	var s run.Settings
	if err := settings.Load(c.Settings, &s); err != nil {
		return err
	}
	if err := s.Validate(); err != nil {
		return eris.Wrapf(err, "%s", c.Settings)
	}
	r, err := run.Do(ctx, run.Options{
		Settings: s, Scenario: selected, Seed: c.Seed, Prefix: c.Prefix,
		Progress: func(line string) { fmt.Fprintln(os.Stderr, line) },
	})
	if err != nil {
		return err
	}
	if err := r.Write(c.Report); err != nil {
		return err
	}
	fmt.Print(r.Summary())
	if len(r.ZeroBarsMissed) > 0 {
		return errZeroThreshold
	}
	return nil
}

type listCommand struct{}

func (c *listCommand) run(context.Context) error {
	for _, s := range scenario.Table {
		fmt.Printf("%-18s %s (%s, %g requests per second, %d faults)\n", s.Name, s.About, s.Duration, s.Rate, len(s.Faults))
	}
	return nil
}

type compareCommand struct {
	Old string `arg:"positional,required" placeholder:"A.json"`
	New string `arg:"positional,required" placeholder:"B.json"`
}

func (c *compareCommand) run(context.Context) error {
	before, err := report.Read(c.Old)
	if err != nil {
		return err
	}
	after, err := report.Read(c.New)
	if err != nil {
		return err
	}
	fmt.Print(report.Compare(before, after))
	return nil
}

type plotCommand struct {
	Reports []string `arg:"positional,required" placeholder:"REPORT"`
	Out     string   `arg:"--out,required" help:"file to write, .svg or .png"`
	Kind    string   `arg:"--kind" default:"load" help:"load (first token and goodput against the rate), spend (budgets against time) or config (versions against VMs)"`
}

func (c *plotCommand) run(context.Context) error {
	var reports []*report.Report
	for _, path := range c.Reports {
		r, err := report.Read(path)
		if err != nil {
			return err
		}
		reports = append(reports, r)
	}
	return plot.Draw(c.Kind, reports, c.Out)
}
