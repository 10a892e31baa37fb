package admin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"buckthornridge/config"
)

// visibleDocument returns the part of a document that a principal may read.
func visibleDocument(doc config.Document, caller principal) config.Document {
	if caller.fleet {
		return doc
	}
	result := config.Document{
		Fleet:      config.Fleet{Name: doc.Fleet.Name},
		Models:     doc.Models,
		Kinds:      doc.Kinds,
		Services:   doc.Services,
		Workspaces: teamWorkspaces(doc, caller.team),
	}
	if team, ok := doc.Teams[caller.team]; ok && caller.hasRole(config.RoleOwner) {
		result.Teams = map[string]config.Team{caller.team: team}
	}
	return result
}

// teamWorkspaces returns the workspaces that belong to a team.
func teamWorkspaces(doc config.Document, team string) map[string]config.Workspace {
	workspaces := map[string]config.Workspace{}
	for name, workspace := range doc.Workspaces {
		if workspace.Team == team {
			workspaces[name] = workspace
		}
	}
	return workspaces
}

// checkScope rejects a document that changes more than a principal may change.
// head is the document that it would replace.
func checkScope(head, sent config.Document, caller principal) *Problem {
	switch {
	case caller.fleet && !caller.hasRole(config.RoleOwner) && !equalJSON(head.Teams, sent.Teams):
		return newProblem(ProblemForbidden, "only an owner may change teams and their tokens")
	case caller.fleet:
		return nil
	}
	if !onlyOwnSections(sent) {
		return newProblem(ProblemForbidden, "a team may send only its workspaces and, by an owner, its own tokens")
	}
	for name, workspace := range sent.Workspaces {
		if workspace.Team != caller.team {
			return newProblem(ProblemForbidden, fmt.Sprintf("workspace %q names another team", name))
		}
		if current, exists := head.Workspaces[name]; exists && current.Team != caller.team {
			return newProblem(ProblemForbidden, fmt.Sprintf("the name of workspace %q is taken", name))
		}
		if !shareAllowed(head, name, workspace.Share) {
			return newProblem(ProblemForbidden, fmt.Sprintf("workspace %q: only teams with fleet may change share", name))
		}
	}
	if p := checkTeamScope(head, sent, caller); p != nil {
		return p
	}
	return checkForeignDigests(head, sent, caller)
}

// shareAllowed reports whether a team may send a share: the current value, or at
// most the default for a new workspace. Shares are the relative weights of the
// workspaces of all teams, so a team that set its own could take the capacity of
// the fleet from the others.
func shareAllowed(head config.Document, name string, share float64) bool {
	current, exists := head.Workspaces[name]
	if !exists {
		return share <= defaultShare
	}
	return share == current.Share
}

// defaultShare is the effective value of a share of 0.
const defaultShare = 1

// onlyOwnSections reports whether a document contains only workspaces and teams.
func onlyOwnSections(doc config.Document) bool {
	entries := len(doc.Models) + len(doc.Kinds) + len(doc.Upstreams) + len(doc.Services)
	return entries == 0 && doc.Policy == config.Policy{} && equalJSON(doc.Fleet, config.Fleet{})
}

func checkTeamScope(head, sent config.Document, caller principal) *Problem {
	for name, team := range sent.Teams {
		switch {
		case name != caller.team:
			return newProblem(ProblemForbidden, fmt.Sprintf("team %q is not yours", name))
		case equalJSON(team, head.Teams[name]):
		case !caller.hasRole(config.RoleOwner):
			return newProblem(ProblemForbidden, "only an owner may change tokens")
		case team.Fleet:
			return newProblem(ProblemForbidden, "a team can't give itself the fleet")
		}
	}
	return nil
}

// checkForeignDigests rejects a key or token that another team already uses. The
// error does not reveal whose it is; the error of the general checks would.
func checkForeignDigests(head, sent config.Document, caller principal) *Problem {
	foreign := map[string]bool{}
	for name, team := range head.Teams {
		if name != caller.team {
			addDigests(foreign, team.Tokens)
		}
	}
	for _, workspace := range head.Workspaces {
		if workspace.Team != caller.team {
			addDigests(foreign, workspace.Keys)
		}
	}
	own := map[string]bool{}
	for _, workspace := range sent.Workspaces {
		addDigests(own, workspace.Keys)
	}
	for _, team := range sent.Teams {
		addDigests(own, team.Tokens)
	}
	for digest := range own {
		if foreign[digest] {
			return newProblem(ProblemForbidden, "digest "+digest+" is in use")
		}
	}
	return nil
}

func addDigests(into map[string]bool, digests map[string]string) {
	for digest := range digests {
		into[strings.ToLower(digest)] = true
	}
}

// combine returns head with the principal's own part replaced by the sent one.
func combine(head, sent config.Document, caller principal) config.Document {
	if caller.fleet {
		return sent
	}
	next := head
	next.Workspaces = maps.Clone(sent.Workspaces)
	if next.Workspaces == nil {
		next.Workspaces = map[string]config.Workspace{}
	}
	for name, workspace := range head.Workspaces {
		if workspace.Team != caller.team {
			next.Workspaces[name] = workspace
		}
	}
	if team, ok := sent.Teams[caller.team]; ok {
		next.Teams = maps.Clone(head.Teams)
		next.Teams[caller.team] = team
	}
	return next
}

// equalJSON compares values by their JSON encoding, in which an empty map equals
// one that a folder omits.
func equalJSON(a, b any) bool {
	left, err1 := json.Marshal(a)
	right, err2 := json.Marshal(b)
	return err1 == nil && err2 == nil && bytes.Equal(left, right)
}
