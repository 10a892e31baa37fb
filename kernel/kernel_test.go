package kernel

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type greeter interface{ greet() string }

type polite struct{}

func (polite) greet() string { return "good day" }

func TestModulesAreFoundByName(t *testing.T) {
	is := is.New(t)
	Register("test.greeting.polite", func() any { return polite{} })
	Register("test.greeting.number", func() any { return 7 })
	is.Equal(Names("test.greeting"), []string{"number", "polite"})
	is.Equal(Names("test"), nil) // a namespace is the whole of what stands before the last dot

	module, err := New[greeter]("test.greeting", "polite")
	is.NoErr(err)
	is.Equal(module.greet(), "good day")
}

func TestWrongModulesAreRefused(t *testing.T) {
	Register("test.wrong.number", func() any { return 7 })
	for _, c := range []struct {
		name    string
		unknown bool
		text    string
	}{
		{"missing", true, "known: number"},
		{"number", false, "is not a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := New[greeter]("test.wrong", c.name)
			is.Equal(errors.Is(err, ErrUnknownModule), c.unknown)
			is.True(strings.Contains(err.Error(), c.text))
		})
	}
}

func TestRegisterRefusesMistakes(t *testing.T) {
	Register("test.twice.a", func() any { return 1 })
	for name, register := range map[string]func(){
		"twice":          func() { Register("test.twice.a", func() any { return 2 }) },
		"no name":        func() { Register("", func() any { return 1 }) },
		"no constructor": func() { Register("test.twice.b", nil) },
	} {
		t.Run(name, func(t *testing.T) {
			defer func() { is.New(t).True(recover() != nil) }()
			register()
		})
	}
}

// recorder notes the stages that a module went through.
type recorder struct {
	name string
	log  *[]string
	fail string // the stage that fails
}

var errStage = errors.New("stage failed")

func (r recorder) note(stage string) error {
	*r.log = append(*r.log, r.name+" "+stage)
	if stage == r.fail {
		return errStage
	}
	return nil
}

func (r recorder) Provision(context.Context) error { return r.note("provision") }
func (r recorder) Validate() error                 { return r.note("validate") }
func (r recorder) Start(context.Context) error     { return r.note("start") }
func (r recorder) Drain(context.Context) error     { return r.note("drain") }
func (r recorder) Stop() error                     { return r.note("stop") }

// Modules are prepared all before the first starts, and end in the reverse order.
// A fault at any stage is named, and what had started is stopped.
func TestLifecycle(t *testing.T) {
	ended := "b drain a drain b stop a stop"
	for _, c := range []struct{ name, failing, stage, want string }{
		{"all well", "", "", "a provision a validate b provision b validate a start b start " + ended},
		{"not provisioned", "b", "provision", "a provision a validate b provision"},
		{"not valid", "a", "validate", "a provision a validate"},
		{"not started", "b", "start", "a provision a validate b provision b validate a start b start a stop"},
		{"not drained", "b", "drain", "a provision a validate b provision b validate a start b start " + ended},
		{"not stopped", "b", "stop", "a provision a validate b provision b validate a start b start " + ended},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var log []string
			var l Lifecycle
			for _, name := range []string{"a", "b"} {
				r := recorder{name: name, log: &log}
				if name == c.failing {
					r.fail = c.stage
				}
				l.Add(name, r)
			}
			l.Add("plain", 7) // implements nothing, which is fine
			err := l.Start(t.Context())
			if err == nil {
				err = errors.Join(l.Drain(t.Context()), l.Stop())
			}
			is.Equal(strings.Join(log, " "), c.want)
			is.Equal(errors.Is(err, errStage), c.failing != "")
			if c.failing != "" {
				is.True(strings.Contains(err.Error(), c.stage+" "+c.failing))
			}
			is.NoErr(l.Stop()) // a second stop does nothing
		})
	}
}
