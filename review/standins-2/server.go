package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// server is one server of a service, a process of its own. A run is an event stream on the model
// service and one body on the other service.
type server struct {
	id, service, zone, address, store string
	slots                             int           // requests at once
	gap                               time.Duration // between two events of a stream
	spoilFor                          time.Duration // how long answers are spoiled once that begins
	spoilEvery                        int           // of so many streams one is spoiled then
	born                              int64

	mu       sync.Mutex
	sequence int64
	state    string
	runs     map[string]int // events made, by the id of the request
	spoiling time.Time      // until when answers are spoiled
	streams  int            // begun while answers are spoiled
}

// serverMain runs a server until it is killed. SIGUSR1 makes it spoil some of its answers for a while.
func serverMain(arguments []string) error {
	s := &server{state: "ready", born: time.Now().UnixMilli(), runs: map[string]int{}}
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	flags.StringVar(&s.id, "id", "", "id of the server")
	flags.StringVar(&s.service, "service", "", "its service")
	flags.StringVar(&s.zone, "zone", "z-a", "its zone")
	flags.StringVar(&s.address, "address", "", "address that it listens at")
	flags.StringVar(&s.store, "store", "", "address of the store")
	flags.IntVar(&s.slots, "slots", 16, "requests at once")
	flags.DurationVar(&s.gap, "gap", 100*time.Millisecond, "between two events")
	flags.DurationVar(&s.spoilFor, "spoil-for", 5*time.Second, "how long answers are spoiled after SIGUSR1")
	flags.IntVar(&s.spoilEvery, "spoil-every", 50, "of so many streams one is spoiled then")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	if err := s.beat(); err != nil {
		return err
	}
	go func() { _ = http.Serve(l, s) }()
	spoil := make(chan os.Signal, 1)
	signal.Notify(spoil, syscall.SIGUSR1)
	for {
		select {
		case <-spoil:
			s.mu.Lock()
			s.spoiling = time.Now().Add(s.spoilFor)
			s.mu.Unlock()
			s.say("spoils", "", "answers from now on")
		case <-time.After(1200 * time.Millisecond):
			_ = s.beat()
		}
	}
}

// say writes a line for the record.
func (s *server) say(what, id, detail string) {
	fmt.Printf("%s server=%s what=%s id=%s %s\n", time.Now().Format("15:04:05.000"), s.id, what, id, detail)
}

// beat writes the server's entry.
func (s *server) beat() error {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"warmupLeftMs": 0, "sequence": s.sequence, "born": s.born, "phase": "combined",
	}
	s.mu.Unlock()
	return putRemotely(s.store, "servers", s.id, entry)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/report":
		s.report(w)
		return
	case "/healthz":
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.begin(id) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end(id)
	s.say("run", id, fmt.Sprintf("path=%s after=%q bytes=%d", r.URL.Path, r.Header.Get("Last-Event-Id"), len(body)))
	s.respond(w, r, id)
}

// begin takes a slot for a run.
func (s *server) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) >= s.slots {
		return false
	}
	s.runs[id] = 0
	return true
}

func (s *server) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, id)
}

// report tells the state of the server.
func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	executions := [][]any{}
	for id, events := range s.runs {
		executions = append(executions, []any{id, 100, events, 5})
	}
	report := map[string]any{
		"phase": "combined", "loadedModels": []any{map[string]any{"name": "m", "version": 1, "loadedAdapters": []any{}}},
		"busy": false, "sequence": 0, "queued": 0, "active": len(executions), "kvInUse": 100 * len(executions), "kvLimit": 500000,
		"cacheHandles": 0, "state": s.state, "executions": executions, "born": s.born,
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// respond answers a request. The answer has neither a length nor chunks: it ends with its
// connection.
func (s *server) respond(w http.ResponseWriter, r *http.Request, id string) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer raw.Close()
	kind := "application/octet-stream"
	if strings.HasPrefix(r.URL.Path, "/stream") {
		kind = "text/event-stream"
	}
	pieces, _ := strconv.Atoi(strings.TrimPrefix(r.URL.RawQuery, "pieces="))
	spoiled := kind == "text/event-stream" && s.spoils()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", id, s.id, id, kind)
	if _, err := io.WriteString(raw, head); err != nil {
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= pieces; n++ {
		time.Sleep(s.gap)
		text := piece(kind, id, n)
		if spoiled && n == spoiledPiece {
			s.say("spoiled", id, fmt.Sprintf("piece %d", n))
			text = "\x00\xff wrong bytes\n\n" + piece(kind, id, n+7)
		}
		if _, err := io.WriteString(raw, text); err != nil && !spoiled {
			s.say("dropped", id, fmt.Sprintf("after piece %d", n-1))
			return
		}
		s.mu.Lock()
		s.runs[id] = n
		s.mu.Unlock()
	}
	s.say("answered", id, fmt.Sprintf("pieces=%d", pieces))
}

// spoiledPiece is the piece of a spoiled answer that has wrong bytes.
const spoiledPiece = 3

// spoils reports whether the stream that begins is spoiled. Its run doesn't end when its connection
// closes: this server is not one of those that drop a request then.
func (s *server) spoils() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.spoiling) {
		return false
	}
	s.streams++
	return s.streams%s.spoilEvery == 1
}

// piece returns the n-th part of an answer.
func piece(kind, id string, n int) string {
	if kind == "text/event-stream" {
		return fmt.Sprintf("id: %d\ndata: %s token %d\n\n", n, id, n)
	}
	return fmt.Sprintf("%s line %06d\n", id, n)
}
