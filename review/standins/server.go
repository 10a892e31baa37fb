package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A server of a service, as a process of its own. It takes commands on standard input and writes
// what it does to standard output.

type serverSpec struct {
	ID, Service, Address, Zone, Kind string
	Slots, Queue, Connections        int
	// Unframed answers have no length and end with their connection.
	Unframed bool
	// Keeps says that a run goes on when its connection closes.
	Keeps   bool
	GapMS   int // between two events
	WorkMS  int // of a plain request
	Stride  int // tokens in an event
	Control string
}

type runState struct {
	events int
	began  time.Time
}

type server struct {
	spec  serverSpec
	born  int64
	slots chan struct{}

	mu       sync.Mutex
	waiting  int
	runs     map[string]*runState
	seen     [][]any // runs as of some hundred ms ago
	requests int
	lose     int  // the answer of each lose-th stream is lost; 0: none
	spoils   bool // a lost answer ends with wrong bytes, and the run outlasts its connection
	state    string
	sequence int
}

func say(what string, id string, more string) {
	fmt.Fprintf(os.Stdout, "%d %s %s %s\n", time.Now().UnixNano(), what, id, more)
}

func serverMain(text string) {
	var spec serverSpec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s := &server{spec: spec, born: time.Now().UnixMilli(), slots: make(chan struct{}, spec.Slots), runs: map[string]*runState{}, state: "ready"}
	l, err := net.Listen("tcp", spec.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() {
		for range time.Tick(200 * time.Millisecond) {
			s.look()
		}
	}()
	go s.commands()
	go func() {
		for {
			s.register()
			time.Sleep(heartbeat)
		}
	}()
	say("listens", spec.ID, spec.Address)
	_ = http.Serve(&bounded{Listener: l, most: spec.Connections}, s)
}

// bounded resets connections beyond a number.
type bounded struct {
	net.Listener
	most int
	mu   sync.Mutex
	open int
}

type counted struct {
	net.Conn
	once sync.Once
	of   *bounded
}

func (b *bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		b.mu.Lock()
		full := b.open >= b.most
		if !full {
			b.open++
		}
		b.mu.Unlock()
		if !full {
			return &counted{Conn: c, of: b}, nil
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (c *counted) Close() error {
	c.once.Do(func() { c.of.mu.Lock(); c.of.open--; c.of.mu.Unlock() })
	return c.Conn.Close()
}

// commands carries out what the script says: "drain MS", "lose N", "spoil N".
func (s *server) commands() {
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		words := strings.Fields(in.Text())
		n := 0
		if len(words) > 1 {
			n, _ = strconv.Atoi(words[1])
		}
		s.mu.Lock()
		switch words[0] {
		case "drain":
			s.state = "draining"
		case "lose":
			s.lose = n
		case "spoil":
			s.lose, s.spoils = n, true
		}
		s.mu.Unlock()
		if words[0] == "drain" {
			s.register()
			say("drains", s.spec.ID, "the store has accepted it")
			time.AfterFunc(time.Duration(n)*time.Millisecond, func() {
				s.mu.Lock()
				left := len(s.runs)
				s.mu.Unlock()
				say("exits", s.spec.ID, fmt.Sprintf("with %d runs", left))
				os.Exit(0)
			})
		}
	}
	os.Exit(0) // the script has ended
}

// register writes the server's entry, or a heartbeat.
func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": s.spec.Service, "address": s.spec.Address, "zone": s.spec.Zone, "version": "v1", "slots": s.spec.Slots,
		"state": s.state, "warmupLeftMs": 0, "sequence": 1, "born": s.born,
	})
	s.mu.Unlock()
	r, err := http.Post("http://"+s.spec.Control+"/server/"+s.spec.ID, "application/json", strings.NewReader(string(entry)))
	if err == nil {
		r.Body.Close()
	}
}

// look keeps what the report says.
func (s *server) look() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = [][]any{}
	for id, r := range s.runs {
		s.seen = append(s.seen, []any{id, 100 + r.events*s.spec.Stride, r.events, 5})
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/-/report" && s.spec.Kind == "engine":
		s.report(w)
		return
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", s.spec.ID)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.spec.ID {
		w.Header().Set("Instance-Id", s.spec.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.admit(r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	if s.spec.Kind == "engine" {
		s.generate(w, r, id)
		return
	}
	s.work(w, r, id, body)
}

// admit waits for a slot; false if the queue is full or the caller has left.
func (s *server) admit(r *http.Request) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.spec.Queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.waiting--; s.mu.Unlock() }()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "combined", "born": s.born, "state": s.state, "loadedModels": []map[string]any{{"name": "m", "version": 1, "loadedAdapters": []string{}}},
		"busy": false, "sequence": 0, "queued": s.waiting, "active": len(s.runs), "kvInUse": 1000 * len(s.runs), "kvLimit": 400000, "cacheHandles": 0,
		"executions": s.seen,
	})
}

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n) }

// generate streams events up to the largest number of output tokens.
func (s *server) generate(w http.ResponseWriter, r *http.Request, id string) {
	_, most, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(most))
	events := tokens / s.spec.Stride
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &runState{began: time.Now(), events: last}
	s.mu.Lock()
	s.requests++
	lost := s.lose > 0 && s.requests%s.lose == 0 && last == 0
	s.runs[id] = run
	s.mu.Unlock()
	say("run", id, fmt.Sprintf("at %s from event %d of %d", s.spec.ID, last+1, events))
	how := "complete"
	defer func() {
		s.mu.Lock()
		delete(s.runs, id)
		n := run.events
		s.mu.Unlock()
		say("ended", id, fmt.Sprintf("at %s after event %d: %s", s.spec.ID, n, how))
	}()
	left := r.Context().Done()
	write := func(text string) error { _, err := io.WriteString(w, text); return err }
	flush := http.NewResponseController(w).Flush
	cut := func() {}
	if s.spec.Unframed || lost {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			how = "no connection"
			return
		}
		defer conn.Close()
		gone := make(chan struct{})
		go func() { _, _ = conn.Read(make([]byte, 1)); close(gone) }()
		left, flush = gone, func() error { return nil }
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: " + s.spec.ID + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
		chunk := func(text string) string { return text }
		if !s.spec.Unframed {
			head += "Transfer-Encoding: chunked\r\n"
			chunk = func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
		}
		write = func(text string) error { _, err := io.WriteString(conn, chunk(text)); return err }
		if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
			how = "no connection"
			return
		}
		cut = func() {
			_ = conn.(*counted).Conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	} else {
		w.Header().Set("Server-Signature", s.spec.ID)
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for n := last + 1; n <= events; n++ {
		if s.spec.Keeps || lost {
			time.Sleep(time.Duration(s.spec.GapMS) * time.Millisecond)
		} else {
			select {
			case <-time.After(time.Duration(s.spec.GapMS) * time.Millisecond):
			case <-left:
				how = "its connection was closed"
				return
			}
		}
		s.mu.Lock()
		run.events = n
		s.mu.Unlock()
		if lost && n > lostAfter {
			continue // its answer is lost, and the run goes on
		}
		if write(event(id, n)) != nil || flush() != nil {
			how = "its connection was closed"
			return
		}
		if lost && n == lostAfter {
			say("lost", id, fmt.Sprintf("at %s: the answer, after event %d", s.spec.ID, n))
			if s.spoils {
				_ = write("id: 99\ndata: wrong bytes\n\n")
				continue
			}
			cut()
		}
	}
}

// lostAfter is how many events of a lost answer still arrive.
const lostAfter = 3

// work runs a plain request.
func (s *server) work(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	say("run", id, "at "+s.spec.ID)
	time.Sleep(time.Duration(s.spec.WorkMS) * time.Millisecond)
	w.Header().Set("Server-Signature", s.spec.ID)
	say("ended", id, "at "+s.spec.ID+": complete")
	fmt.Fprintf(w, "done %s %s", id, body)
}
