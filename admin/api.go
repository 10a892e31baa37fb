// Package admin implements the administration API, through which buckthornctl
// manages a fleet. Many teams share a platform, so each request is authorized
// for a team and a role, and a team reads and changes only its own workspaces. A
// team with fleet access also manages the settings that all teams share.
//
// Requests and replies are JSON; errors are application/problem+json.
package admin

import (
	"time"

	"buckthornridge/config"
	"buckthornridge/quarantine"
)

// Paths of the API. Names in braces are path values.
const (
	PathConfig      = "/v1/config"
	PathHistory     = "/v1/config/history"
	PathStatus      = "/v1/status"
	PathBudget      = "/v1/budgets/{workspace}/{budget}"
	PathTopUp       = "/v1/budgets/{workspace}/{budget}/top-ups"
	PathAudit       = "/v1/audit"
	PathBudgetAudit = "/v1/audit/budgets"
	PathDrain       = "/v1/vms/{vm}/drain"
	PathQuarantine  = "/v1/quarantine"
	PathRelease     = "/v1/quarantine/{fingerprint}/release"
)

// ConfigReply is one version of the configuration, limited to what the team may
// read.
type ConfigReply struct {
	Version  config.Version  `json:"version"`
	Document config.Document `json:"document"`
}

// ApplyRequest asks for a new version. A team without fleet sends only its own
// workspaces and tokens; the other sections stay unchanged.
type ApplyRequest struct {
	Base config.Version `json:"base"`
	// ApplyID makes the request idempotent, so that it can be retried after a
	// lost response.
	ApplyID  string          `json:"apply_id"`
	Document config.Document `json:"document"`
}

// ApplyReply contains the version made by the change.
type ApplyReply struct {
	Version config.Version `json:"version"`
}

// HistoryReply lists versions, newest first.
type HistoryReply struct {
	Versions []config.Record `json:"versions"`
}

// StatusReply contains the accepted version and the versions in force.
type StatusReply struct {
	Accepted config.Version `json:"accepted"`
	InForce  config.Version `json:"in_force"` // in the process that serves the request
	// AsOf is the time for which the platform's VM list is valid.
	AsOf time.Time `json:"as_of"`
	// Processes is set only for teams with fleet.
	Processes []ProcessStatus `json:"processes,omitempty"`
}

// ProcessStatus describes one process of the fleet.
type ProcessStatus struct {
	VM          string         `json:"vm"`
	Incarnation string         `json:"incarnation"`
	Role        string         `json:"role"`
	DataCentre  string         `json:"data_centre"`
	State       string         `json:"state"`
	Version     config.Version `json:"version"`
	Error       string         `json:"error,omitempty"` // why the process could not be queried or stopped
}

// BudgetReply is a budget in tokens; purchased = billed + lost + held + free.
type BudgetReply struct {
	Workspace string `json:"workspace"`
	Budget    string `json:"budget"`
	BudgetStatus
}

// BudgetStatus is the state of a budget in the table, in tokens.
type BudgetStatus struct {
	Purchased int64 `json:"purchased"`
	Billed    int64 `json:"billed"`
	Lost      int64 `json:"lost"` // consumed but not billed
	Held      int64 `json:"held"` // granted to routers
	Free      int64 `json:"free"`
}

// TopUpRequest buys tokens. A repeated id denotes the same payment.
type TopUpRequest struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// TopUpReply reports that the tokens were bought, and whether an earlier request
// with the same id bought them.
type TopUpReply struct {
	Applied       bool `json:"applied"`
	AppliedBefore bool `json:"applied_before"`
}

// AuditReply lists records, newest first.
type AuditReply struct {
	Records []AuditRecord `json:"records"`
}

// AuditRecord describes one requested change.
type AuditRecord struct {
	At      time.Time `json:"at"`
	ID      string    `json:"id"` // of the request
	Team    string    `json:"team"`
	Role    string    `json:"role"`
	Token   string    `json:"token"` // first digits of the token's digest
	Action  Action    `json:"action"`
	Target  string    `json:"target"`
	Detail  string    `json:"detail,omitempty"`
	Outcome Outcome   `json:"outcome"`
}

// Action is the kind of a requested change.
type Action string

// Actions in the audit log.
const (
	ActionApply Action = "apply"
	ActionTopUp Action = "top_up"
	ActionDrain Action = "drain"
	// ActionRelease lets a quarantined request run again.
	ActionRelease Action = "release"
)

// Outcome is the result of an action. A record that stays at begun means that the
// process ended before writing the outcome; the rows of the target show whether
// the change was made.
type Outcome string

// Outcomes of an action.
const (
	OutcomeBegun   Outcome = "begun"
	OutcomeDone    Outcome = "done"
	OutcomeRefused Outcome = "refused"
	OutcomeUnknown Outcome = "unknown"
)

// QuarantineReply lists the requests under which upstreams ended, those with the most
// crashes first.
type QuarantineReply struct {
	Entries []quarantine.Entry `json:"entries"`
}

// ReleaseReply reports that a request was cleared of the crashes recorded so far.
type ReleaseReply struct {
	Released bool `json:"released"`
}

// DrainReply lists the results for the VM's processes.
type DrainReply struct {
	Processes []ProcessStatus `json:"processes"`
}
