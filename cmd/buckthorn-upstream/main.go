// Command buckthorn-upstream is the stand-in for one upstream. It simulates a model
// engine or a server of a plain service, and injects faults into it.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"buckthornridge/standin/node"
	"buckthornridge/store"
	"buckthornridge/store/httpclient"
	"buckthornridge/telemetry"
)

type arguments struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Stand-in for an upstream: a model engine or a server of a plain service, over HTTP."
}

// Version implements arg.Versioned.
func (arguments) Version() string {
	info, _ := debug.ReadBuildInfo()
	return program + " " + info.Main.Version
}

const program = "buckthorn-upstream"

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
	s, err := load(path)
	if err != nil {
		return err
	}
	server, err := s.upstream()
	if err != nil {
		return eris.Wrapf(err, "settings %s", path)
	}
	shutdown, err := telemetry.Start(ctx, program, s.ID, s.Trace)
	if err != nil {
		return err
	}
	defer func() { _ = shutdown(context.WithoutCancel(ctx)) }()
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return eris.Wrapf(err, "listen %s", s.Address)
	}
	return node.Run(ctx, listener, server, s.options())
}

// options returns the node's options. The incarnation is the start time in
// nanoseconds, so that it increases with each start.
func (s processSettings) options() node.Options {
	options := node.Options{
		VM: store.VM{
			ID:          s.ID,
			Incarnation: strconv.FormatInt(time.Now().UnixNano(), 10),
			Role:        string(s.Kind),
			DataCentre:  s.DataCentre,
			Region:      s.Region,
			Address:     s.Address,
		},
		LeaveGrace:   s.LeaveGrace.D(),
		DrainTimeout: s.DrainTimeout.D(),
	}
	if s.Platform != "" {
		options.VMList = httpclient.New(httpclient.Options{Address: s.Platform, VM: s.ID}).Services().VMs
	}
	return options
}
