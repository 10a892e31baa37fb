package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// How long the store takes for an answer and for a transaction, as the sheet of the site says.
const (
	storeAnswer      = 4 * time.Millisecond
	storeTransaction = 8 * time.Millisecond
	storeRows        = 500 // of one answer
)

type rowAddress struct {
	Table string `json:"storeTable"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowAddress
	Data    []byte `json:"data,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rows    map[rowAddress]row
	changes []row // by version
	version int64
	changed chan struct{}
	began   time.Time
	// away, if set, says of which rows the store is unavailable: it answers 503 to calls for them.
	away func(table, part string) bool
}

func newStore() *store {
	return &store{rows: map[rowAddress]row{}, changed: make(chan struct{}), began: time.Now()}
}

// serve serves the store's protocol on a listener.
func (s *store) serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	mux.HandleFunc("POST /stand-in/put", s.putHandler)
	return http.Serve(l, mux)
}

// putHandler takes the rows that the operator and the servers write. An empty body removes a row.
func (s *store) putHandler(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.put(r.URL.Query().Get("table"), r.URL.Query().Get("key"), data)
}

// put writes a row of the operator's or a server's; its return is the acknowledgement.
func (s *store) put(table, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{rowAddress: rowAddress{Table: table, Key: key}, Data: data, Deleted: len(data) == 0})
	s.announce()
}

// set applies one write at the current version. The caller holds s.mu.
func (s *store) set(r row) {
	r.Version = s.version
	if r.Deleted {
		r.Data = nil
		delete(s.rows, r.rowAddress)
	} else {
		s.rows[r.rowAddress] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setAway sets of which rows the store is unavailable.
func (s *store) setAway(away func(table, part string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// refuses answers 503 if the store is unavailable for a row. The caller holds s.mu.
func (s *store) refuses(w http.ResponseWriter, table, part string) bool {
	if s.away == nil || !s.away(table, part) {
		return false
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// writtenParts returns the parts of a table with a prefix that have been written since a version.
func (s *store) writtenParts(table, prefix string, since int64) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for _, one := range s.changes {
		if one.Table == table && strings.HasPrefix(one.Part, prefix) && one.Version > since && !one.Deleted {
			found[one.Part] = true
		}
	}
	return found
}

// currentVersion returns the newest version.
func (s *store) currentVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// answer writes an answer. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["rowVersion"], fields["nowMs"] = s.version, time.Since(s.began).Milliseconds()+1
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []row        `json:"expectedRevision"`
		Write    []row        `json:"write"`
		Remove   []rowAddress `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(storeTransaction)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range append(append([]row{}, txn.Expected...), txn.Write...) {
		if s.refuses(w, one.Table, one.Part) {
			return
		}
	}
	current, failed := []row{}, false
	for _, c := range txn.Expected {
		now := s.rows[c.rowAddress]
		now.rowAddress = c.rowAddress
		current = append(current, now)
		failed = failed || now.Version != c.Version
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	for _, one := range txn.Write {
		s.set(one)
	}
	for _, one := range txn.Remove {
		s.set(row{rowAddress: one, Deleted: true})
	}
	s.announce()
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w, q.Get("storeTable"), q.Get("part")) {
		return
	}
	found := []row{}
	for address, one := range s.rows {
		if address.Table == q.Get("storeTable") && address.Part == q.Get("part") &&
			address.Key >= q.Get("fromKey") && (q.Get("to") == "" || address.Key < q.Get("to")) {
			found = append(found, one)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	most := storeRows
	if n, err := strconv.Atoi(q.Get("maxItems")); err == nil && n < most {
		most = n
	}
	truncated := len(found) > most
	if truncated {
		found = found[:most]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": found, "truncated": truncated})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, names := map[string]bool{}, []string{}
	for address := range s.rows {
		if address.Table == q.Get("storeTable") && address.Part > q.Get("sinceRevision") && !seen[address.Part] {
			seen[address.Part] = true
			names = append(names, address.Part)
		}
	}
	sort.Strings(names)
	s.answer(w, http.StatusOK, map[string]any{"parts": names, "truncated": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	time.Sleep(storeAnswer)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		rows := s.since(q.Get("storeTable"), since)
		if len(rows) > 0 || !waiting {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a table after a version. The caller holds s.mu.
func (s *store) since(table string, version int64) []row {
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > version })
	rows := []row{}
	for _, one := range s.changes[first:] {
		if one.Table == table {
			rows = append(rows, one)
		}
	}
	return rows
}

// putRemotely writes a row as a server does, over the network. It returns once the store has
// acknowledged it.
func putRemotely(storeAddress, table, key string, value any) error {
	body := ""
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			return err
		}
		body = string(data)
	}
	response, err := http.Post(fmt.Sprintf("http://%s/stand-in/put?table=%s&key=%s", storeAddress, table, key), "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", response.StatusCode)
	}
	return nil
}
