package kernel

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// The optional interfaces of a module's life cycle, in the order in which
// Lifecycle calls them. A module implements those it needs.
type (
	// Provisioner prepares a module: it opens what the module needs but does
	// no work yet.
	Provisioner interface{ Provision(context.Context) error }
	// Validator checks the settings of a provisioned module.
	Validator interface{ Validate() error }
	// Starter begins the module's work and returns without waiting for it.
	Starter interface{ Start(context.Context) error }
	// Drainer ends new work and waits, until the context is done, for work in
	// progress. A planned stop calls it before Stop.
	Drainer interface{ Drain(context.Context) error }
	// Stopper ends the module at once and waits for its goroutines.
	Stopper interface{ Stop() error }
)

// Lifecycle runs modules through their stages: forwards in the order they were
// added, and backwards for Drain and Stop, so that a module outlives the ones
// that use it.
type Lifecycle struct {
	modules []namedModule
	started int
}

type namedModule struct {
	name   string
	module any
}

// Add appends a module. The name appears in errors.
func (l *Lifecycle) Add(name string, module any) {
	l.modules = append(l.modules, namedModule{name: name, module: module})
}

// Start provisions and validates every module, then starts them in order. After
// an error the modules that were started are stopped again.
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

// Drain drains the started modules, last added first. It goes on after an error
// so that one stuck module does not keep the others from finishing their work.
func (l *Lifecycle) Drain(ctx context.Context) error {
	var all error
	for i := l.started - 1; i >= 0; i-- {
		if d, ok := l.modules[i].module.(Drainer); ok {
			if err := d.Drain(ctx); err != nil {
				all = errors.Join(all, eris.Wrapf(err, "drain %s", l.modules[i].name))
			}
		}
	}
	return all
}

// Stop stops the started modules, last added first, and joins their errors.
func (l *Lifecycle) Stop() error {
	var all error
	for ; l.started > 0; l.started-- {
		m := l.modules[l.started-1]
		if s, ok := m.module.(Stopper); ok {
			if err := s.Stop(); err != nil {
				all = errors.Join(all, eris.Wrapf(err, "stop %s", m.name))
			}
		}
	}
	return all
}
