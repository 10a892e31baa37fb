package admin

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/budget"
	"buckthornridge/config"
)

// Client calls the administration API.
type Client struct {
	Base  string // such as "https://127.0.0.1:7300"
	Token string
	HTTP  *http.Client
	// RetryTimeout is how long a change with an id is retried after a lost response or
	// an unknown outcome.
	RetryTimeout time.Duration
}

// retryDelay is the delay before a change is retried.
const retryDelay = 500 * time.Millisecond

// maxReplyBytes limits the size of a reply.
const maxReplyBytes = 64 << 20

// Config returns a version of the configuration; 0 selects the accepted version.
func (c *Client) Config(ctx context.Context, version config.Version) (reply ConfigReply, err error) {
	query := url.Values{}
	if version > 0 {
		query.Set("version", strconv.FormatUint(uint64(version), 10))
	}
	err = c.get(ctx, PathConfig, query, &reply)
	return reply, err
}

// rawApplyRequest is ApplyRequest with the document as read from the
// configuration folder, without the keys that the folder omits.
type rawApplyRequest struct {
	Base     config.Version  `json:"base"`
	ApplyID  string          `json:"apply_id"`
	Document json.RawMessage `json:"document"`
}

// Apply sends a document as JSON. It retries with the same id until the outcome
// is known or RetryTimeout has elapsed.
func (c *Client) Apply(ctx context.Context, base config.Version, applyID string, document []byte) (reply ApplyReply, err error) {
	err = c.sendWithRetry(ctx, PathConfig, rawApplyRequest{Base: base, ApplyID: applyID, Document: document}, &reply)
	return reply, err
}

// History returns the versions below before, newest first; 0 sets no bound.
func (c *Client) History(ctx context.Context, before config.Version, limit int) (reply HistoryReply, err error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if before > 0 {
		query.Set("before", strconv.FormatUint(uint64(before), 10))
	}
	err = c.get(ctx, PathHistory, query, &reply)
	return reply, err
}

// Status returns the accepted version and the versions in force.
func (c *Client) Status(ctx context.Context) (reply StatusReply, err error) {
	err = c.get(ctx, PathStatus, nil, &reply)
	return reply, err
}

// Budget returns one budget.
func (c *Client) Budget(ctx context.Context, id budget.ID) (reply BudgetReply, err error) {
	err = c.get(ctx, budgetPath(PathBudget, id), nil, &reply)
	return reply, err
}

// TopUp buys tokens, at most once per request id.
func (c *Client) TopUp(ctx context.Context, id budget.ID, request TopUpRequest) (reply TopUpReply, err error) {
	err = c.sendWithRetry(ctx, budgetPath(PathTopUp, id), request, &reply)
	return reply, err
}

// Audit returns audit records, newest first.
func (c *Client) Audit(ctx context.Context, limit int) (reply AuditReply, err error) {
	err = c.get(ctx, PathAudit, url.Values{"limit": {strconv.Itoa(limit)}}, &reply)
	return reply, err
}

// AuditBudgets checks every budget in the table.
func (c *Client) AuditBudgets(ctx context.Context) (reply budget.Report, err error) {
	err = c.get(ctx, PathBudgetAudit, nil, &reply)
	return reply, err
}

// Drain asks a VM's processes for a planned stop.
func (c *Client) Drain(ctx context.Context, vm string) (reply DrainReply, err error) {
	path := strings.Replace(PathDrain, "{vm}", url.PathEscape(vm), 1)
	err = c.send(ctx, http.MethodPost, path, nil, struct{}{}, &reply)
	return reply, err
}

// Quarantine returns the requests under which upstreams ended.
func (c *Client) Quarantine(ctx context.Context) (reply QuarantineReply, err error) {
	err = c.get(ctx, PathQuarantine, nil, &reply)
	return reply, err
}

// Release lets a quarantined request run again.
func (c *Client) Release(ctx context.Context, fingerprint string) (reply ReleaseReply, err error) {
	path := strings.Replace(PathRelease, "{fingerprint}", url.PathEscape(fingerprint), 1)
	err = c.send(ctx, http.MethodPost, path, nil, struct{}{}, &reply)
	return reply, err
}

func budgetPath(pattern string, id budget.ID) string {
	return strings.NewReplacer("{workspace}", url.PathEscape(id.Workspace), "{budget}", url.PathEscape(id.Name)).Replace(pattern)
}

func (c *Client) get(ctx context.Context, path string, query url.Values, reply any) error {
	return c.send(ctx, http.MethodGet, path, query, nil, reply)
}

// sendWithRetry sends a change that has an id. After a lost response or an
// unknown outcome it sends the same request again.
func (c *Client) sendWithRetry(ctx context.Context, path string, request, reply any) error {
	deadline := time.Now().Add(c.RetryTimeout)
	for {
		err := c.send(ctx, http.MethodPost, path, nil, request, reply)
		if err == nil || !outcomeUncertain(err) || time.Now().Add(retryDelay).After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryDelay):
		}
	}
}

// outcomeUncertain reports whether a change may have been made despite an error.
func outcomeUncertain(err error) bool {
	var p *Problem
	if !errors.As(err, &p) {
		return true // no response
	}
	return p.Name() == ProblemOutcomeUnknown || p.Name() == ProblemUnavailable
}

func (c *Client) send(ctx context.Context, method, path string, query url.Values, body, reply any) error {
	request, err := c.request(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return eris.Wrapf(err, "read reply to %s", path)
	}
	if response.StatusCode != http.StatusOK {
		return replyError(response, text)
	}
	return eris.Wrapf(json.Unmarshal(text, reply), "decode reply to %s", path)
}

func (c *Client) request(ctx context.Context, method, path string, query url.Values, body any) (*http.Request, error) {
	var compressed bytes.Buffer
	if body != nil {
		w := gzip.NewWriter(&compressed)
		if err := errors.Join(json.NewEncoder(w).Encode(body), w.Close()); err != nil {
			return nil, eris.Wrapf(err, "encode request to %s", path)
		}
	}
	address := strings.TrimSuffix(c.Base, "/") + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, &compressed)
	if err != nil {
		return nil, eris.Wrapf(err, "request to %s", path)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Content-Encoding", "gzip")
	}
	return request, nil
}

// replyError returns the problem in a reply, or an error with the HTTP status if
// the reply holds none.
func replyError(response *http.Response, text []byte) error {
	p := new(Problem)
	if json.Unmarshal(text, p) != nil || p.Type == "" {
		return eris.Errorf("admin API returned status %s", response.Status)
	}
	return p
}
