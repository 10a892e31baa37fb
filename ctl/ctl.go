// Package ctl implements buckthornctl, the operators' command line. It checks and
// shows folders and reads log files itself; everything else goes through the
// administration API.
package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"buckthornridge/admin"
	"buckthornridge/program"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command failed, was refused or got no response
	ExitUsage  = 2
)

// arguments are the program's arguments; exactly one subcommand is set.
type arguments struct {
	API       string        `arg:"--api,env:BUCKTHORN_API" help:"base URL of the administration API" default:"http://127.0.0.1:7300"`
	TokenFile string        `arg:"--token-file" help:"file with the admin token; else the variable BUCKTHORN_TOKEN"`
	CA        string        `arg:"--ca" help:"file with the certificates that the API's must come from"`
	Cert      string        `arg:"--cert" help:"certificate to show to the API, if it asks for one"`
	Key       string        `arg:"--key" help:"key of the certificate"`
	Patience  time.Duration `arg:"--patience" help:"how long a change is sent again after a lost answer" default:"30s"`

	Check      *checkCommand      `arg:"subcommand:check" help:"check a folder"`
	Diff       *diffCommand       `arg:"subcommand:diff" help:"show what applying a folder would change"`
	Apply      *applyCommand      `arg:"subcommand:apply" help:"make a folder the configuration of the fleet"`
	History    *historyCommand    `arg:"subcommand:history" help:"list the accepted versions"`
	Show       *showCommand       `arg:"subcommand:show" help:"show the merged folder with the place of each value, or the accepted configuration"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show the version in force on each VM"`
	Budget     *budgetCommand     `arg:"subcommand:budget" help:"show a budget"`
	TopUp      *topUpCommand      `arg:"subcommand:topup" help:"buy tokens for a budget, once per id"`
	Audit      *auditCommand      `arg:"subcommand:audit" help:"list the changes that were asked for, or check all budgets"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"say from logs why a request, or all of them, ended as they did"`
	Quarantine *quarantineCommand `arg:"subcommand:quarantine" help:"list requests under which upstreams ended, or release one"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"ask the processes of a VM for a planned stop"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "buckthornctl configures and monitors a buckthornridge fleet."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "buckthornctl " + program.BuildVersion() }

// command is one subcommand.
type command interface {
	run(ctx context.Context, s commandEnv) error
}

// commandEnv is the output and the API client of a command.
type commandEnv struct {
	out    io.Writer
	client *admin.Client
}

func (s commandEnv) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }

// Run runs the program and returns its exit code. args excludes the program's name.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "buckthornctl"}, &a)
	if err != nil {
		panic(err) // invalid struct tags in arguments
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, a.Version())
		return ExitOK
	case err != nil || parser.Subcommand() == nil:
		if err == nil {
			err = eris.New("a subcommand is required")
		}
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		fmt.Fprintln(errOut, "error:", err)
		return ExitUsage
	}
	client, err := a.newClient()
	if err == nil {
		err = parser.Subcommand().(command).run(ctx, commandEnv{out: out, client: client})
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	return ExitOK
}

func (a arguments) newClient() (*admin.Client, error) {
	token := os.Getenv("BUCKTHORN_TOKEN")
	if a.TokenFile != "" {
		text, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read token")
		}
		token = strings.TrimSpace(string(text))
	}
	tlsConfig, err := a.loadTLSConfig()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = tlsConfig
	return &admin.Client{Base: a.API, Token: token, HTTP: &http.Client{Transport: transport}, RetryTimeout: a.Patience}, nil
}

func (a arguments) loadTLSConfig() (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.CA != "" {
		pem, err := os.ReadFile(a.CA)
		if err != nil {
			return nil, eris.Wrap(err, "read CA")
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, eris.Errorf("%s contains no certificate", a.CA)
		}
	}
	if a.Cert != "" {
		cert, err := tls.LoadX509KeyPair(a.Cert, a.Key)
		if err != nil {
			return nil, eris.Wrap(err, "read certificate")
		}
		c.Certificates = []tls.Certificate{cert}
	}
	return c, nil
}
