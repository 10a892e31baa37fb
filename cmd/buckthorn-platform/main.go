// Command buckthorn-platform is the stand-in for the platform. It simulates the
// transactional table, the object store, the VM list and the weight store, and
// injects faults into them.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"buckthornridge/program"
	standin "buckthornridge/standin/platform"
)

func main() {
	s := standin.DefaultSettings()
	program.MustLoad("Stand-in for the platform: table, object store, VM list and weight store over HTTP.", &s)
	program.Exit(run(s))
}

func run(s standin.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return eris.Wrapf(err, "listen %s", s.Address)
	}
	return standin.Run(ctx, listener, standin.NewServer(s))
}
