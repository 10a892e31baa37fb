package run

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"buckthornridge/admin"
	"buckthornridge/config"
	"buckthornridge/standin/engine"
	"buckthornridge/standin/service"
	"buckthornridge/store"
	"buckthornridge/store/wire"
)

// fleet gives access to the fleet under test.
type fleet struct {
	settings Settings
	client   *http.Client
	document config.Document
}

// Timeouts of the tool's own calls.
const (
	debugTimeout = 10 * time.Second
	adminTimeout = 20 * time.Second
)

func newFleet(ctx context.Context, s Settings) (*fleet, error) {
	f := &fleet{settings: s, client: &http.Client{Timeout: debugTimeout}}
	accepted, err := f.api(0).Config(ctx, 0)
	if err != nil {
		return nil, eris.Wrap(err, "read the accepted configuration")
	}
	f.document = accepted.Document
	return f, nil
}

// api returns a client of the administration API of the i-th VM, modulo the number
// of VMs.
func (f *fleet) api(i int) *admin.Client {
	return &admin.Client{
		Base:         "http://" + f.settings.VMs[i%len(f.settings.VMs)].API,
		Token:        f.settings.Token,
		HTTP:         f.client,
		RetryTimeout: adminTimeout,
	}
}

// getJSON reads a JSON page under /debug.
func (f *fleet) getJSON(ctx context.Context, address, path string, into any) error {
	pageURL := "http://" + address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, pageURL, nil)
	if err != nil {
		return eris.Wrapf(err, "get %s", pageURL)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "get %s", pageURL)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: %s", pageURL, response.Status)
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(into), "decode %s", pageURL)
}

// readTable reads all rows with a prefix from the platform stand-in. The read is not
// affected by the stand-in's injected faults.
func (f *fleet) readTable(ctx context.Context, prefix string) ([]store.Row, error) {
	var response wire.RowsResponse
	err := f.getJSON(ctx, f.settings.Platform, "/debug/table?prefix="+url.QueryEscape(prefix), &response)
	return response.Rows, err
}

func (f *fleet) readCounters(ctx context.Context) (store.Counters, error) {
	var c store.Counters
	err := f.getJSON(ctx, f.settings.Platform, "/debug/counters", &c)
	return c, err
}

// upstreamIDs returns the sorted IDs of the upstreams of one kind.
func (f *fleet) upstreamIDs(kind config.UpstreamKind) []string {
	var ids []string
	for id, u := range f.document.Upstreams {
		if u.Kind == kind {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) readRuns(ctx context.Context, id string) (engine.RunReport, error) {
	var report engine.RunReport
	err := f.getJSON(ctx, f.document.Upstreams[id].Address, engine.PathRuns, &report)
	return report, err
}

func (f *fleet) readExecutions(ctx context.Context, id string) (service.Report, error) {
	var report service.Report
	err := f.getJSON(ctx, f.document.Upstreams[id].Address, service.PathExecutions, &report)
	return report, err
}

// resolveTarget converts a target such as "engine/1" to an upstream ID. Other
// targets are returned unchanged.
func (f *fleet) resolveTarget(target string) string {
	kind, number, found := strings.Cut(target, "/")
	if !found {
		return target
	}
	ids := f.upstreamIDs(config.UpstreamKind(kind))
	index, err := strconv.Atoi(number)
	if err != nil || index >= len(ids) {
		return target
	}
	return ids[index]
}

// routerStatus is the part of the /debug/status page of a router that the tool
// reads.
type routerStatus struct {
	Version config.Version `json:"version"`
}

func (f *fleet) readStatus(ctx context.Context, vm VM) (routerStatus, error) {
	var s routerStatus
	err := f.getJSON(ctx, vm.RouterAdmin, "/debug/status", &s)
	return s, err
}
