package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The platform's metadata store as PROTOCOL.md describes it: rows, transactions, the feed.

const (
	readTime  = 4 * time.Millisecond
	writeTime = 8 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
)

type address struct {
	Table string `json:"storeTable"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	address
	Data    []byte `json:"data,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type store struct {
	mu      sync.Mutex
	rows    map[address]row
	changes []row
	version int64
	changed chan struct{}
	began   time.Time
	beats   map[string]time.Time // by server id
	// era counts the returns from an older copy; away answers nothing but 503.
	era  int64
	away bool
	copy map[address]row
	// copied is the version of the copy.
	copied int64
}

func newStore() *store {
	return &store{rows: map[address]row{}, changed: make(chan struct{}), began: time.Now(), beats: map[string]time.Time{}, era: 1}
}

// keepCopy takes the copy from which the store comes back.
func (s *store) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy, s.copied = maps.Clone(s.rows), s.version
}

func (s *store) leaveForAMoment() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.announce()
}

// comeBack ends the store's absence with the copy. What the operator and the servers wrote since is
// written again.
func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	again := map[address]row{}
	for at, r := range s.rows {
		if at.Table == "op" || at.Table == "servers" {
			again[at] = r
		}
	}
	s.rows, s.version, s.changes = s.copy, s.copied, nil
	s.era, s.away = s.era+1, false
	for _, r := range again {
		s.version++
		s.set(r)
	}
	s.announce()
}

// refuses answers a call while the store is away.
func (s *store) refuses(w http.ResponseWriter) bool {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.away
}

// serve listens for the system's calls.
func (s *store) serve(at string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.read)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, mux) }()
	go s.expire()
	return nil
}

// put writes a row as the operator or a server does; nil removes it. A row that stays the same
// is not written again.
func (s *store) put(table, key string, value any) {
	at := address{Table: table, Key: key}
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, has := s.rows[at]
	if value == nil && !has || has && value != nil && string(old.Data) == string(data) {
		return
	}
	s.version++
	s.set(row{address: at, Data: data, Deleted: value == nil})
	s.announce()
}

func (s *store) set(r row) {
	r.Version = s.version
	if r.Deleted {
		r.Data = nil
		delete(s.rows, r.address)
	} else {
		s.rows[r.address] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beat records a server's heartbeat; expire removes the entries of silent ones.
func (s *store) beat(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
}

func (s *store) leave(id string) {
	s.mu.Lock()
	delete(s.beats, id)
	s.mu.Unlock()
	s.put("servers", id, nil)
}

func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		var silent []string
		for id, at := range s.beats {
			if time.Since(at) > 3*heartbeat {
				silent = append(silent, id)
			}
		}
		s.mu.Unlock()
		for _, id := range silent {
			s.leave(id)
		}
	}
}

// answer writes a response. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["rowVersion"], fields["nowMs"] = s.version, time.Since(s.began).Milliseconds()+1
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []row     `json:"expectedRevision"`
		Write    []row     `json:"write"`
		Remove   []address `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(writeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w) {
		return
	}
	current, failed := []row{}, false
	for _, c := range txn.Expected {
		have := s.rows[c.address]
		failed = failed || have.Version != c.Version
		if have.Version != 0 {
			current = append(current, have)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	for _, one := range txn.Write {
		if one.Table == "op" || one.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, one := range txn.Write {
		s.set(row{address: one.address, Data: one.Data})
	}
	for _, one := range txn.Remove {
		s.set(row{address: one, Deleted: true})
	}
	s.announce()
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(readTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w) {
		return
	}
	rows := []row{}
	for at, one := range s.rows {
		if at.Table == q.Get("storeTable") && at.Part == q.Get("part") && at.Key >= q.Get("fromKey") && (q.Get("to") == "" || at.Key < q.Get("to")) {
			rows = append(rows, one)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit := 500
	if n, err := strconv.Atoi(q.Get("maxItems")); err == nil {
		limit = min(limit, n)
	}
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses(w) {
		return
	}
	seen, parts := map[string]bool{}, []string{}
	for at := range s.rows {
		if at.Table == r.URL.Query().Get("storeTable") && !seen[at.Part] {
			seen[at.Part] = true
			parts = append(parts, at.Part)
		}
	}
	sort.Strings(parts)
	s.answer(w, http.StatusOK, map[string]any{"parts": parts, "truncated": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		if s.refuses(w) {
			s.mu.Unlock()
			return
		}
		if since > s.version || since < s.copied && s.era > 1 { // history ends with its era
			s.answer(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		rows := []row{}
		for _, one := range s.changes[sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > since }):] {
			if one.Table == q.Get("storeTable") {
				rows = append(rows, one)
			}
		}
		if len(rows) > 0 || ended {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
