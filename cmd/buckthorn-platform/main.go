// Command buckthorn-platform is the stand-in for the platform: the transactional
// table, the object store, the VM list and the weight store, with their faults.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/settings"
	standin "buckthornridge/standin/platform"
)

type arguments struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Stand-in for the platform: table, object store, VM list and weight store over HTTP."
}

// Version implements arg.Versioned.
func (arguments) Version() string {
	info, _ := debug.ReadBuildInfo()
	return "buckthorn-platform " + info.Main.Version
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := run(ctx, args.Settings)
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, path string) error {
	s := standin.DefaultSettings()
	if err := settings.Load(path, &s); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return eris.Wrapf(err, "listen %s", s.Address)
	}
	return standin.Run(ctx, listener, standin.NewServer(s))
}
