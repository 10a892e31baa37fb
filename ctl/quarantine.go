package ctl

import "context"

type quarantineCommand struct {
	Release string `arg:"--release" placeholder:"FINGERPRINT" help:"let this request run again"`
}

func (c *quarantineCommand) run(ctx context.Context, s commandEnv) error {
	if c.Release != "" {
		if _, err := s.client.Release(ctx, c.Release); err != nil {
			return err
		}
		s.printf("released %s\n", c.Release)
		return nil
	}
	reply, err := s.client.Quarantine(ctx)
	if err != nil {
		return err
	}
	for _, e := range reply.Entries {
		state := "suspected"
		if e.Quarantined {
			state = "quarantined"
		}
		s.printf("%s  %-11s  %d upstreams ended\n", e.Fingerprint, state, e.Crashes)
	}
	if len(reply.Entries) == 0 {
		s.printf("no upstream ended under a request\n")
	}
	return nil
}
