package config

import (
	"regexp"

	"buckthornridge/settings"
)

func (c *checker) fleet() {
	at := keyPath{"fleet"}
	c.checkNotEmpty(at.with("name"), c.doc.Fleet.Name)
	if len(c.doc.Fleet.DataCentres) == 0 {
		c.addError(at.with("data_centres"), "a fleet must have at least one data centre")
	}
	for _, name := range sorted(c.doc.Fleet.DataCentres) {
		dataCentre := c.doc.Fleet.DataCentres[name]
		at := at.with("data_centres", name)
		c.checkName(at)
		c.checkNotEmpty(at.with("region"), dataCentre.Region)
		for _, other := range sorted(dataCentre.LatencyMS) {
			at := at.with("latency_ms", other)
			checkReference(c, at, "data centre", other, c.doc.Fleet.DataCentres)
			checkNotNegative(c, at, dataCentre.LatencyMS[other])
		}
	}
}

func (c *checker) models() {
	for _, name := range sorted(c.doc.Models) {
		model := c.doc.Models[name]
		at := keyPath{"models", name}
		c.checkName(at)
		checkPositive(c, at.with("max_output_tokens"), model.MaxOutputTokens)
		checkNotNegative(c, at.with("replicas"), model.Replicas)
	}
}

func (c *checker) kinds() {
	for _, name := range sorted(c.doc.Kinds) {
		kind := c.doc.Kinds[name]
		at := keyPath{"kinds", name}
		c.checkName(at)
		checkNotNegative(c, at.with("priority"), kind.Priority)
		checkNotNegative(c, at.with("weight"), kind.Weight)
		checkPositive(c, at.with("first_token_ms"), kind.FirstTokenMS)
		checkPositive(c, at.with("deadline_ms"), kind.DeadlineMS)
		if kind.FirstTokenMS > kind.DeadlineMS && kind.DeadlineMS > 0 {
			c.addError(at.with("first_token_ms"), "must not be later than deadline_ms, %d > %d", kind.FirstTokenMS, kind.DeadlineMS)
		}
	}
}

func (c *checker) upstreams() {
	addresses := map[string]string{}
	for _, name := range sorted(c.doc.Upstreams) {
		upstream := c.doc.Upstreams[name]
		at := keyPath{"upstreams", name}
		c.checkName(at)
		c.checkAddress(at.with("address"), upstream.Address)
		if other, taken := addresses[upstream.Address]; taken {
			c.addError(at.with("address"), "address is already used by %q", other)
		}
		addresses[upstream.Address] = name
		checkReference(c, at.with("data_centre"), "data centre", upstream.DataCentre, c.doc.Fleet.DataCentres)
		checkNotNegative(c, at.with("slots"), upstream.Slots)
		checkNotNegative(c, at.with("max_models"), upstream.MaxModels)
		c.upstreamKind(at, upstream)
	}
}

func (c *checker) upstreamKind(at keyPath, upstream Upstream) {
	switch upstream.Kind {
	case UpstreamEngine:
		for _, model := range upstream.Models {
			checkReference(c, at.with("models"), "model", model, c.doc.Models)
		}
		if upstream.Service != "" {
			c.addError(at.with("service"), "an engine must not name a service")
		}
	case UpstreamService:
		checkReference(c, at.with("service"), "service", upstream.Service, c.doc.Services)
		if len(upstream.Models) > 0 {
			c.addError(at.with("models"), "a plain server must not list models")
		}
	default:
		c.checkOneOf(at.with("kind"), "upstream kind", string(upstream.Kind),
			[]string{string(UpstreamEngine), string(UpstreamService)})
	}
}

// operationPattern matches "METHOD /path".
var operationPattern = regexp.MustCompile(`^[A-Z]+ /\S*$`)

func (c *checker) services() {
	for _, name := range sorted(c.doc.Services) {
		at := keyPath{"services", name}
		c.checkName(at)
		operations := c.doc.Services[name].Operations
		if len(operations) == 0 {
			c.addError(at.with("operations"), "a service must have at least one operation")
		}
		for _, call := range sorted(operations) {
			at := at.with("operations", call)
			if !operationPattern.MatchString(call) {
				c.addError(at, `want "METHOD /path", found %q`, call)
			}
			checkReference(c, at.with("kind"), "kind", operations[call].Kind, c.doc.Kinds)
			checkNotNegative(c, at.with("tokens"), operations[call].Tokens)
		}
	}
}

func (c *checker) teams() {
	hasFleetOwner := false
	for _, name := range sorted(c.doc.Teams) {
		team := c.doc.Teams[name]
		c.team(keyPath{"teams", name}, name, team)
		for _, role := range team.Tokens {
			hasFleetOwner = hasFleetOwner || (team.Fleet && role == RoleOwner)
		}
	}
	// Without such a token, an apply would lock out all operators, because the
	// bootstrap token is valid only while the table is empty.
	if !hasFleetOwner {
		c.addError(keyPath{"teams"}, "no team with fleet has a token of role owner; the configuration could not be changed again")
	}
}

func (c *checker) team(at keyPath, name string, team Team) {
	c.checkName(at)
	for _, digest := range sorted(team.Tokens) {
		at := at.with("tokens", digest)
		c.checkDigest(at, digest, "a token of team "+name)
		c.checkOneOf(at, "role", team.Tokens[digest], Roles)
	}
}

func (c *checker) workspaces() {
	for _, name := range sorted(c.doc.Workspaces) {
		workspace := c.doc.Workspaces[name]
		at := keyPath{"workspaces", name}
		checkReference(c, at.with("team"), "team", workspace.Team, c.doc.Teams)
		c.workspace(at, name, workspace)
	}
}

func (c *checker) workspace(at keyPath, name string, workspace Workspace) {
	c.checkName(at)
	checkNotNegative(c, at.with("share"), workspace.Share)
	for _, digest := range sorted(workspace.Keys) {
		at := at.with("keys", digest)
		c.checkDigest(at, digest, "an API key of workspace "+name)
		checkReference(c, at, "budget", workspace.Keys[digest], workspace.Budgets)
	}
	for _, budget := range sorted(workspace.Budgets) {
		c.checkName(at.with("budgets", budget))
	}
}

func (c *checker) policy() {
	policy := c.doc.Policy
	at := keyPath{"policy"}
	c.checkModule(at.with("routing"), routingNamespace, policy.Routing)
	c.checkModule(at.with("admission"), admissionNamespace, policy.Admission)
	if policy.Placement != "" && policy.Placement != PlacementDemand {
		c.addError(at.with("placement"), "want %q or an empty string, found %q", PlacementDemand, policy.Placement)
	}
	if w := policy.Budget.RefusalWeight; w < 0 || w > 1 {
		c.addError(at.with("budget", "refusal_weight"), "want 0 to 1, found %v", w)
	}
	checkNotNegative(c, at.with("load", "queue_per_workspace"), policy.Load.QueuePerWorkspace)
}

// checkTeamScope checks the folder of one team as far as possible without the rest of
// the fleet's document.
func checkTeamScope(doc Document, root *settings.Node, team string) settings.Errors {
	c := newChecker(doc, root)
	for _, member := range root.Members {
		if member.Name != string(SectionWorkspaces) && member.Name != string(SectionTeams) {
			c.errs.Add(member.At, "a team's folder may hold only workspaces and its own teams entry, not %q", member.Name)
		}
	}
	for _, name := range sorted(doc.Teams) {
		at := keyPath{"teams", name}
		if name != team {
			c.addError(at, "is not team %q", team)
		}
		c.team(at, name, doc.Teams[name])
	}
	for _, name := range sorted(doc.Workspaces) {
		at := keyPath{"workspaces", name}
		if got := doc.Workspaces[name].Team; got != team {
			c.addError(at.with("team"), "belongs to team %q, not to %q", got, team)
		}
		c.workspace(at, name, doc.Workspaces[name])
	}
	return c.errs
}
