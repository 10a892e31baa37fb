// Command buckthornctl is the operators' command line tool. It checks and applies
// a configuration folder, and shows and changes the state of a fleet.
package main

import (
	"context"
	"os"
	"os/signal"

	// Registers the admission and routing policies, whose names check validates.
	_ "buckthornridge/admission"
	"buckthornridge/ctl"
	_ "buckthornridge/routing"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
