// Package kernel is the module registry and the life cycle that every part of
// buckthornridge runs under.
//
// A module registers a constructor under a dotted identifier in its init
// function, for example "routing.policy.expected_cost". Programs look modules up
// by identifier, so that adding a policy or a duty touches one folder.
package kernel

import (
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrUnknownModule is returned by New for an identifier nobody registered.
var ErrUnknownModule = eris.New("kernel: unknown module")

// ID names a module: lower-case words joined by dots, the namespace first.
type ID string

// Namespace returns the part of the identifier before its last dot.
func (id ID) Namespace() string {
	cut := strings.LastIndexByte(string(id), '.')
	if cut < 0 {
		return ""
	}
	return string(id[:cut])
}

// Name returns the part of the identifier after its last dot.
func (id ID) Name() string {
	return string(id[strings.LastIndexByte(string(id), '.')+1:])
}

var (
	registryMu sync.RWMutex
	registry   = map[ID]func() any{}
)

// Register adds a module constructor. It panics when the identifier is empty or
// taken: both are programming errors that show at start-up.
func Register(id ID, construct func() any) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if id == "" || construct == nil {
		panic("kernel: Register needs an identifier and a constructor")
	}
	if _, taken := registry[id]; taken {
		panic(fmt.Sprintf("kernel: module %q registered twice", id))
	}
	registry[id] = construct
}

// Names returns the sorted short names of the modules in a namespace. Settings
// checks use it to list what a wrong value could have been.
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

// New constructs the module namespace.name and asserts that it is a T.
func New[T any](namespace, name string) (T, error) {
	var none T
	id := ID(namespace + "." + name)
	registryMu.RLock()
	construct, known := registry[id]
	registryMu.RUnlock()
	if !known {
		hint := strings.Join(Names(namespace), ", ")
		return none, eris.Wrapf(ErrUnknownModule, "%q (known: %s)", id, hint)
	}
	module, fits := construct().(T)
	if !fits {
		return none, eris.Errorf("kernel: module %q is not a %T", id, none)
	}
	return module, nil
}
