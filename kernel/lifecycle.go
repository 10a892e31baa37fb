package kernel

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// The optional interfaces of a module's life cycle, in the order in which
// Lifecycle calls them. A module implements those it needs.
type (
	// Provisioner acquires the module's resources without starting its work.
	Provisioner interface{ Provision(context.Context) error }
	// Validator checks the settings of a provisioned module.
	Validator interface{ Validate() error }
	// Starter starts the module's work and returns without waiting for it.
	Starter interface{ Start(context.Context) error }
	// Drainer stops accepting new work and waits for work in progress until the
	// context is done. A planned stop calls it before Stop.
	Drainer interface{ Drain(context.Context) error }
	// Stopper stops the module immediately and waits for its goroutines.
	Stopper interface{ Stop() error }
)

// Lifecycle starts modules in the order in which they were added. Drain and Stop
// go in reverse order, so that a module stops after the modules that use it.
type Lifecycle struct {
	modules []namedModule
	started int
}

type namedModule struct {
	name   string
	module any
}

// Add appends a module. Errors contain the name.
func (l *Lifecycle) Add(name string, module any) {
	l.modules = append(l.modules, namedModule{name: name, module: module})
}

// Start provisions and validates every module, then starts them in order. If one
// fails to start, the modules started before it are stopped.
func (l *Lifecycle) Start(ctx context.Context) error {
	for _, m := range l.modules {
		if err := prepare(ctx, m); err != nil {
			return err
		}
	}
	for _, m := range l.modules {
		if s, ok := m.module.(Starter); ok {
			if err := s.Start(ctx); err != nil {
				return errors.Join(eris.Wrapf(err, "start %s", m.name), l.Stop())
			}
		}
		l.started++
	}
	return nil
}

func prepare(ctx context.Context, m namedModule) error {
	if p, ok := m.module.(Provisioner); ok {
		if err := p.Provision(ctx); err != nil {
			return eris.Wrapf(err, "provision %s", m.name)
		}
	}
	if v, ok := m.module.(Validator); ok {
		if err := v.Validate(); err != nil {
			return eris.Wrapf(err, "validate %s", m.name)
		}
	}
	return nil
}

// Drain drains the started modules, last added first. It continues after an error
// so that a module that does not drain in time does not prevent the others from
// finishing their work.
func (l *Lifecycle) Drain(ctx context.Context) error {
	var errs error
	for i := l.started - 1; i >= 0; i-- {
		if d, ok := l.modules[i].module.(Drainer); ok {
			if err := d.Drain(ctx); err != nil {
				errs = errors.Join(errs, eris.Wrapf(err, "drain %s", l.modules[i].name))
			}
		}
	}
	return errs
}

// Stop stops the started modules, last added first, and joins their errors.
func (l *Lifecycle) Stop() error {
	var errs error
	for ; l.started > 0; l.started-- {
		m := l.modules[l.started-1]
		if s, ok := m.module.(Stopper); ok {
			if err := s.Stop(); err != nil {
				errs = errors.Join(errs, eris.Wrapf(err, "stop %s", m.name))
			}
		}
	}
	return errs
}
