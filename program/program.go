// Package program contains the code shared by the main packages: command line
// arguments, settings, the build version and exit codes.
package program

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"buckthornridge/settings"
)

// exitUsage is the exit code for invalid settings or flags.
const exitUsage = 2

// Arguments are the command line arguments that the programs have in common.
type Arguments struct {
	Settings string `arg:"positional,required" help:"settings file, JSON with comments"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`

	description string
}

// Description implements arg.Described.
func (a Arguments) Description() string { return a.description }

// Version implements arg.Versioned.
func (Arguments) Version() string { return "buckthornridge " + BuildVersion() }

// BuildVersion returns the version of the main module, or "(devel)" if the binary
// does not contain one.
func BuildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// Validator is implemented by settings types with checks that go beyond the
// syntax of single values.
type Validator interface{ Validate() error }

// MustLoad reads the command line arguments and loads the settings file. If they
// are invalid, it prints the error and exits the program. With --check it exits
// after the validation.
func MustLoad(description string, into any) {
	a := Arguments{description: description}
	arg.MustParse(&a)
	if err := load(a.Settings, into); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if a.Check {
		fmt.Printf("%s: no errors\n", a.Settings)
		os.Exit(0)
	}
}

func load(path string, into any) error {
	if err := settings.Load(path, into); err != nil {
		return err
	}
	validator, ok := into.(Validator)
	if !ok {
		return nil
	}
	if err := validator.Validate(); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Exit flushes the log. If err is not nil, it logs the error and exits the program
// with code 1.
func Exit(err error) {
	if err != nil {
		klog.Errorf("exiting with error: %v", err)
		klog.Flush()
		os.Exit(1)
	}
	klog.Flush()
}
