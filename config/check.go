package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"buckthornridge/kernel"
	"buckthornridge/settings"
)

// Roles of an admin token, in order of increasing privilege.
const (
	RoleViewer   = "viewer"   // read-only access
	RoleOperator = "operator" // may also apply configurations, drain and top up
	RoleOwner    = "owner"    // may also change teams and their tokens
)

// Roles lists the roles in order of increasing privilege.
var Roles = []string{RoleViewer, RoleOperator, RoleOwner}

// Namespaces of the modules that a Policy selects.
const (
	routingNamespace   = "routing.policy"
	admissionNamespace = "admission.policy"
)

// namePattern restricts names to what is safe in table keys, stream ids and URLs: no
// slashes, no spaces and no upper case, so that no two names differ in case only.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Check returns all errors in a document. Their positions are those of the values in
// root; if root is nil, they are positions in the document's own JSON.
func Check(doc Document, root *settings.Node) settings.Errors {
	c := newChecker(doc, root)
	c.fleet()
	c.models()
	c.kinds()
	c.upstreams()
	c.services()
	c.teams()
	c.workspaces()
	c.policy()
	return c.errs
}

type checker struct {
	doc  Document
	root *settings.Node
	errs settings.Errors
	// digests maps each digest to its first owner, to reject a key or token with
	// two owners.
	digests map[string]string
}

func newChecker(doc Document, root *settings.Node) *checker {
	return &checker{doc: doc, root: root, digests: map[string]string{}}
}

// rootNode returns the node that positions are taken from. If Check was called
// without one, the document's JSON is encoded at the first error only, because that
// takes longer than all checks.
func (c *checker) rootNode() *settings.Node {
	if c.root == nil {
		text, err := json.Marshal(c.doc)
		if err != nil {
			panic(err) // JSON can encode every value of a Document but NaN, which decoding never yields
		}
		c.root, _ = settings.Parse("document", text)
	}
	return c.root
}

// keyPath is the list of keys from the top of a document to a value.
type keyPath []string

func (p keyPath) with(keys ...string) keyPath { return append(slices.Clone(p), keys...) }

// addError adds an error at the position of the deepest key of p that is set.
func (c *checker) addError(p keyPath, format string, args ...any) {
	node := c.rootNode()
	at := node.At
	for _, key := range p {
		member := node.Member(key)
		if member == nil {
			break
		}
		at, node = member.At, member.Value
	}
	c.errs.Add(at, "%s: %s", strings.Join(p, "."), fmt.Sprintf(format, args...))
}

// checkReference adds an error unless name is a key of known.
func checkReference[V any](c *checker, p keyPath, what, name string, known map[string]V) {
	if _, ok := known[name]; ok {
		return
	}
	hint := settings.Hint(name, slices.Collect(maps.Keys(known)))
	c.addError(p, "unknown %s %q%s", what, name, hint)
}

// checkOneOf adds an error unless known contains value.
func (c *checker) checkOneOf(p keyPath, what, value string, known []string) {
	if !slices.Contains(known, value) {
		c.addError(p, "unknown %s %q%s", what, value, settings.Hint(value, known))
	}
}

// number is the constraint of the sign checks.
type number interface{ ~int | ~int64 | ~float64 }

func checkNotNegative[N number](c *checker, p keyPath, value N) {
	if value < 0 {
		c.addError(p, "must not be negative, is %v", value)
	}
}

func checkPositive[N number](c *checker, p keyPath, value N) {
	if value <= 0 {
		c.addError(p, "must be more than 0, is %v", value)
	}
}

func (c *checker) checkNotEmpty(p keyPath, value string) {
	if value == "" {
		c.addError(p, "must not be empty")
	}
}

func (c *checker) checkName(p keyPath) {
	if name := p[len(p)-1]; !namePattern.MatchString(name) {
		c.addError(p, "name %q: want 1 to 63 characters of a-z 0-9 . _ -, starting with a letter or digit", name)
	}
}

// checkDigest checks the format of a SHA-256 digest and that it has only one owner.
func (c *checker) checkDigest(p keyPath, text, owner string) {
	digest, err := ParseDigest(text)
	if err != nil {
		c.addError(p, "%v", err)
		return
	}
	canonical := fmt.Sprintf("%x", digest)
	if other, taken := c.digests[canonical]; taken {
		c.addError(p, "digest is already used by %s", other)
		return
	}
	c.digests[canonical] = owner
}

func (c *checker) checkAddress(p keyPath, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		c.addError(p, "want host:port, found %q", address)
		return
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		c.addError(p, "want a port from 1 to 65535, found %q", port)
	}
}

// checkModule checks the name of a policy module if any module of its namespace is
// linked in. buckthornctl need not contain the modules of routers.
func (c *checker) checkModule(p keyPath, namespace, name string) {
	known := kernel.Names(namespace)
	if name != "" && len(known) > 0 {
		c.checkOneOf(p, namespace+" module", name, known)
	}
}

// sorted returns the keys of a map in sorted order, which makes the order of errors
// deterministic.
func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
