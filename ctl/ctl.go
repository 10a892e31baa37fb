// Package ctl is the operators' command line, buckthornctl. Checking and showing
// a folder is done here; everything else goes through the administration API.
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
	ExitFailed = 1 // refused, or without an answer
	ExitUsage  = 2
)

// arguments are those of the program; exactly one sub command is set.
type arguments struct {
	API       string        `arg:"--api,env:BUCKTHORN_API" help:"base URL of the administration API" default:"http://127.0.0.1:7300"`
	TokenFile string        `arg:"--token-file" help:"file with the admin token; else the variable BUCKTHORN_TOKEN"`
	CA        string        `arg:"--ca" help:"file with the certificates that the API's must come from"`
	Cert      string        `arg:"--cert" help:"certificate to show to the API, if it asks for one"`
	Key       string        `arg:"--key" help:"key of the certificate"`
	Patience  time.Duration `arg:"--patience" help:"how long a change is sent again after a lost answer" default:"30s"`

	Check   *checkCommand   `arg:"subcommand:check" help:"check a folder"`
	Diff    *diffCommand    `arg:"subcommand:diff" help:"show what applying a folder would change"`
	Apply   *applyCommand   `arg:"subcommand:apply" help:"make a folder the configuration of the fleet"`
	History *historyCommand `arg:"subcommand:history" help:"list the accepted versions"`
	Show    *showCommand    `arg:"subcommand:show" help:"show the merged folder with the place of each value, or the accepted configuration"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the version in force on each VM"`
	Budget  *budgetCommand  `arg:"subcommand:budget" help:"show a budget"`
	TopUp   *topUpCommand   `arg:"subcommand:topup" help:"buy tokens for a budget, once per id"`
	Audit   *auditCommand   `arg:"subcommand:audit" help:"list the changes that were asked for, or check all budgets"`
	Explain *explainCommand `arg:"subcommand:explain" help:"say from logs why a request, or all of them, ended as they did"`
	Drain   *drainCommand   `arg:"subcommand:drain" help:"ask the processes of a VM for a planned stop"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "buckthornctl shapes and watches a buckthornridge fleet."
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "buckthornctl " + program.BuildVersion() }

// command is one sub command.
type command interface {
	run(ctx context.Context, s session) error
}

// session is what a command works with.
type session struct {
	out    io.Writer
	client *admin.Client
}

func (s session) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }

// Run runs the program with its arguments, without the program's name, and
// returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "buckthornctl"}, &a)
	if err != nil {
		panic(err) // the struct above is wrong
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
			err = eris.New("a sub command is needed")
		}
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		fmt.Fprintln(errOut, "error:", err)
		return ExitUsage
	}
	client, err := a.client()
	if err == nil {
		err = parser.Subcommand().(command).run(ctx, session{out: out, client: client})
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	return ExitOK
}

func (a arguments) client() (*admin.Client, error) {
	token := os.Getenv("BUCKTHORN_TOKEN")
	if a.TokenFile != "" {
		text, err := os.ReadFile(a.TokenFile)
		if err != nil {
			return nil, eris.Wrap(err, "read token")
		}
		token = strings.TrimSpace(string(text))
	}
	tlsConfig, err := a.tls()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = tlsConfig
	return &admin.Client{Base: a.API, Token: token, HTTP: &http.Client{Transport: transport}, Patience: a.Patience}, nil
}

func (a arguments) tls() (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.CA != "" {
		pem, err := os.ReadFile(a.CA)
		if err != nil {
			return nil, eris.Wrap(err, "read CA")
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, eris.Errorf("%s holds no certificate", a.CA)
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
