package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"buckthornridge/config"
)

// principal is the authenticated sender of a request.
type principal struct {
	team  string
	role  string
	fleet bool
	token string // first digits of the token's digest, for the audit log
	// bootstrap marks the token of the process settings, which is valid only while
	// there is no configuration.
	bootstrap bool
}

// tokenDigits is the number of digest digits shown in the audit log.
const tokenDigits = 8

// hasRole reports whether the principal's role includes the permissions of
// another role.
func (p principal) hasRole(role string) bool {
	return slices.Index(config.Roles, p.role) >= slices.Index(config.Roles, role)
}

// author returns the name of a principal in the version history.
func (p principal) author() string { return p.team + "/" + p.role + "/" + p.token }

// tokenIndex maps the token digests of one configuration version to principals.
type tokenIndex struct {
	version    config.Version
	principals map[config.KeyDigest]principal
}

// authenticator checks admin tokens against the configuration in force.
type authenticator struct {
	holder    *config.SnapshotHolder
	bootstrap string // SHA-256 digest in hex; empty for none
	index     atomic.Pointer[tokenIndex]
}

// identify returns the principal that sent a request. Tokens are looked up by
// their digest, so that the response time does not reveal how much of a guessed
// token is right.
func (a *authenticator) identify(r *http.Request) (principal, *Problem) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return principal{}, newProblem(ProblemUnauthorized, "an admin token is needed: Authorization: Bearer TOKEN")
	}
	digest := sha256.Sum256([]byte(token))
	snapshot := a.holder.Load()
	if snapshot == nil {
		return a.identifyBootstrap(digest)
	}
	if caller, known := a.indexTokens(snapshot).principals[digest]; known {
		return caller, nil
	}
	return principal{}, newProblem(ProblemUnauthorized, "the admin token is not known")
}

// identifyBootstrap accepts the bootstrap token of the first operator. Whether
// there is a configuration already is decided by the table: see
// Server.applyOnce.
func (a *authenticator) identifyBootstrap(digest config.KeyDigest) (principal, *Problem) {
	text := hex.EncodeToString(digest[:])
	if a.bootstrap == "" || subtle.ConstantTimeCompare([]byte(text), []byte(strings.ToLower(a.bootstrap))) != 1 {
		return principal{}, newProblem(ProblemUnauthorized, "the admin token is not known; there is no configuration here yet")
	}
	return principal{team: "bootstrap", role: config.RoleOwner, fleet: true, bootstrap: true, token: text[:tokenDigits]}, nil
}

func (a *authenticator) indexTokens(snapshot *config.Snapshot) *tokenIndex {
	if index := a.index.Load(); index != nil && index.version == snapshot.Version {
		return index
	}
	index := &tokenIndex{version: snapshot.Version, principals: map[config.KeyDigest]principal{}}
	for name, team := range snapshot.Teams {
		for text, role := range team.Tokens {
			digest, err := config.ParseDigest(text)
			if err != nil {
				continue // config validation already rejects malformed digests
			}
			index.principals[digest] = principal{team: name, role: role, fleet: team.Fleet, token: strings.ToLower(text[:tokenDigits])}
		}
	}
	a.index.Store(index)
	return index
}

// isTeamAuthor reports whether a version's author belongs to a team.
func isTeamAuthor(author, team string) bool { return strings.HasPrefix(author, team+"/") }
