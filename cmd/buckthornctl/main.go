// Command buckthornctl is the operators' command line: it checks and applies
// their folder, and shows and changes what a fleet holds.
package main

import (
	"context"
	"os"
	"os/signal"

	// The policies register themselves, so that check knows their names.
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
