package ctl

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/admin"
	"buckthornridge/budget"
	"buckthornridge/config"
)

func (s commandEnv) printJSON(value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "print")
	}
	s.printf("%s\n", text)
	return nil
}

// printTable aligns tab-separated rows in columns.
func (s commandEnv) printTable(write func(row func(format string, args ...any))) error {
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	write(func(format string, args ...any) { commandEnv{out: w}.printf(format+"\n", args...) })
	return w.Flush()
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

type historyCommand struct {
	Limit  int    `arg:"--limit" default:"20"`
	Before uint64 `arg:"--before" help:"only versions below this one"`
}

func (c *historyCommand) run(ctx context.Context, s commandEnv) error {
	reply, err := s.client.History(ctx, config.Version(c.Before), c.Limit)
	if err != nil {
		return err
	}
	return s.printTable(func(row func(string, ...any)) {
		row("VERSION\tAT\tAUTHOR\tENTRIES\tAPPLY ID")
		for _, r := range reply.Versions {
			row("%d\t%s\t%s\t%d\t%s", r.Version, formatTime(r.At), r.Author, r.Changes, r.ApplyID)
		}
	})
}

type statusCommand struct{}

func (c *statusCommand) run(ctx context.Context, s commandEnv) error {
	reply, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	s.printf("accepted: version %d\nin force at the process that responded: version %d\n", reply.Accepted, reply.InForce)
	if len(reply.Processes) == 0 {
		return nil
	}
	s.printf("VM list as of %s\n", formatTime(reply.AsOf))
	return s.printProcesses(reply.Processes)
}

func (s commandEnv) printProcesses(list []admin.ProcessStatus) error {
	return s.printTable(func(row func(string, ...any)) {
		row("VM\tROLE\tDATA CENTRE\tSTATE\tVERSION\tERROR")
		for _, p := range list {
			version := "-"
			if p.Version > 0 {
				version = strconv.FormatUint(uint64(p.Version), 10)
			}
			row("%s\t%s\t%s\t%s\t%s\t%s", p.VM, p.Role, p.DataCentre, p.State, version, p.Error)
		}
	})
}

// budgetArg is an argument of the form WORKSPACE/BUDGET.
type budgetArg struct{ budget.ID }

// UnmarshalText implements encoding.TextUnmarshaler for go-arg.
func (b *budgetArg) UnmarshalText(text []byte) error {
	workspace, name, ok := strings.Cut(string(text), "/")
	if !ok || workspace == "" || name == "" {
		return eris.Errorf("want WORKSPACE/BUDGET, found %q", text)
	}
	b.ID = budget.ID{Workspace: workspace, Name: name}
	return nil
}

type budgetCommand struct {
	Budget budgetArg `arg:"positional,required" placeholder:"WORKSPACE/BUDGET"`
}

func (c *budgetCommand) run(ctx context.Context, s commandEnv) error {
	b, err := s.client.Budget(ctx, c.Budget.ID)
	if err != nil {
		return err
	}
	s.printf("%s/%s: purchased %d, billed %d, lost %d, held %d, free %d tokens\n",
		b.Workspace, b.Budget, b.Purchased, b.Billed, b.Lost, b.Held, b.Free)
	return nil
}

type topUpCommand struct {
	Budget budgetArg `arg:"positional,required" placeholder:"WORKSPACE/BUDGET"`
	Tokens int64     `arg:"positional,required"`
	ID     string    `arg:"--id,required" help:"id of the payment; the same id buys once"`
}

func (c *topUpCommand) run(ctx context.Context, s commandEnv) error {
	reply, err := s.client.TopUp(ctx, c.Budget.ID, admin.TopUpRequest{ID: c.ID, Tokens: c.Tokens})
	if err != nil {
		return eris.Wrapf(err, "top-up %s; if the outcome is unknown, retry with the same id", c.ID)
	}
	if reply.AppliedBefore {
		s.printf("top-up %s was already applied; nothing was added\n", c.ID)
		return nil
	}
	s.printf("%d tokens added to %s\n", c.Tokens, c.Budget.ID)
	return nil
}

type auditCommand struct {
	Limit   int  `arg:"--limit" default:"50"`
	Budgets bool `arg:"--budgets" help:"check all budgets instead"`
}

func (c *auditCommand) run(ctx context.Context, s commandEnv) error {
	if c.Budgets {
		return c.auditBudgets(ctx, s)
	}
	reply, err := s.client.Audit(ctx, c.Limit)
	if err != nil {
		return err
	}
	return s.printTable(func(row func(string, ...any)) {
		row("AT\tTEAM\tROLE\tTOKEN\tACTION\tTARGET\tOUTCOME\tDETAIL")
		for _, r := range reply.Records {
			row("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", formatTime(r.At), r.Team, r.Role, r.Token, r.Action, r.Target, r.Outcome,
				strings.ReplaceAll(r.Detail, "\n", " "))
		}
	})
}

func (c *auditCommand) auditBudgets(ctx context.Context, s commandEnv) error {
	report, err := s.client.AuditBudgets(ctx)
	if err != nil {
		return err
	}
	if report.Violations == nil {
		report.Violations = []budget.Violation{} // print [], not null, which looks as if nothing was checked
	}
	if err := s.printJSON(report); err != nil {
		return err
	}
	if n := len(report.Violations); n > 0 {
		return eris.Errorf("%d violations", n)
	}
	return nil
}

type drainCommand struct {
	VM string `arg:"positional,required"`
}

func (c *drainCommand) run(ctx context.Context, s commandEnv) error {
	reply, err := s.client.Drain(ctx, c.VM)
	if err != nil {
		return err
	}
	failed := 0
	for _, p := range reply.Processes {
		if p.Error != "" {
			failed++
			s.printf("%s %s did not respond: %s\n", p.Role, p.VM, p.Error)
			continue
		}
		s.printf("%s %s begins its planned stop\n", p.Role, p.VM)
	}
	if failed > 0 {
		return eris.Errorf("%d of %d processes could not be reached; stop those that still run with SIGTERM",
			failed, len(reply.Processes))
	}
	return nil
}
