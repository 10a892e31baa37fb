// Package kernel contains the module registry and the module life cycle of
// buckthornridge.
//
// A module registers a constructor under a dotted identifier in its init
// function, for example "routing.policy.expected_cost". Programs look modules up
// by identifier, so that a policy or a duty can be added in one folder. A duty is
// fleet-wide background work, see package duty.
package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrUnknownModule is returned by New for an identifier that is not registered.
var ErrUnknownModule = eris.New("kernel: unknown module")

// ID identifies a module: lower-case words separated by dots, namespace first.
type ID string

// Namespace returns the part of the identifier before its last dot.
func (id ID) Namespace() string {
	separator := strings.LastIndexByte(string(id), '.')
	if separator < 0 {
		return ""
	}
	return string(id[:separator])
}

// Name returns the part of the identifier after its last dot.
func (id ID) Name() string {
	return string(id[strings.LastIndexByte(string(id), '.')+1:])
}

var (
	registryMu sync.RWMutex
	registry   = map[ID]func() any{}
)

// Register adds a module constructor. It panics if the identifier is empty or
// already registered, or if the constructor is nil. These are programming errors,
// which surface at startup.
func Register(id ID, construct func() any) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if id == "" || construct == nil {
		panic("kernel: Register needs an identifier and a constructor")
	}
	if _, exists := registry[id]; exists {
		panic(fmt.Sprintf("kernel: module %q registered twice", id))
	}
	registry[id] = construct
}

// Names returns the sorted names, without the namespace, of the modules in a
// namespace. Validation of settings lists them for an unknown value.
func Names(namespace string) []string {
	registryMu.RLock()
	defer registryMu.RUnlock()
	var names []string
	for id := range registry {
		if id.Namespace() == namespace {
			names = append(names, id.Name())
		}
	}
	sort.Strings(names)
	return names
}

// New constructs the module namespace.name. It returns an error if the module is
// not a T.
func New[T any](namespace, name string) (T, error) {
	var zero T
	id := ID(namespace + "." + name)
	registryMu.RLock()
	construct, registered := registry[id]
	registryMu.RUnlock()
	if !registered {
		available := strings.Join(Names(namespace), ", ")
		return zero, eris.Wrapf(ErrUnknownModule, "%q (known: %s)", id, available)
	}
	module, ok := construct().(T)
	if !ok {
		return zero, eris.Errorf("kernel: module %q is not a %T", id, zero)
	}
	return module, nil
}
