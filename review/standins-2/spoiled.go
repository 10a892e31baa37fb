package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = playSpoiled }

const (
	spoiledPieces  = 20 // of each stream, 100 ms apart
	spoiledStreams = 600
	spoiledGap     = 14 * time.Millisecond // between two streams
	spoiledSlack   = 400 * time.Millisecond
)

// runs follows which server works on which request, by what the servers say.
type runs struct {
	mu      sync.Mutex
	active  map[string]map[string]bool // servers by request
	overlap map[string]string          // requests that two servers have worked on for too long
}

// begins records a run, and looks after the slack whether a server before still works on it.
func (r *runs) begins(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[id] == nil {
		r.active[id] = map[string]bool{}
	}
	var before []string
	for other := range r.active[id] {
		before = append(before, other)
	}
	r.active[id][server] = true
	if len(before) == 0 {
		return
	}
	time.AfterFunc(spoiledSlack, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, other := range before {
			if other != server && r.active[id][other] {
				r.overlap[id] = fmt.Sprintf("went on at %s, and %s still worked on it 400 ms later", server, other)
			}
		}
	})
}

func (r *runs) ends(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active[id], server)
}

// hear reads what a server has said.
func (r *runs) hear(line string) {
	said := map[string]string{}
	for _, field := range strings.Fields(line) {
		if name, value, found := strings.Cut(field, "="); found {
			said[name] = value
		}
	}
	switch said["what"] {
	case "run":
		r.begins(said["id"], said["server"])
	case "answered", "worked", "dropped":
		r.ends(said["id"], said["server"])
	}
}

// playSpoiled has clients receive streams while one model server of three spoils some of its answers,
// and works on after their connections are closed.
func playSpoiled(e *env) error {
	storeAddress, err := e.startStore()
	if err != nil {
		return err
	}
	if err := e.configure(standardConfig()); err != nil {
		return err
	}
	seen := &runs{active: map[string]map[string]bool{}, overlap: map[string]string{}}
	e.onLine = seen.hear
	servers := map[string]*process{}
	for i, id := range []string{"llm-1", "llm-2", "llm-3"} {
		if servers[id], err = e.startServer(i, id, "llm", storeAddress, "-slots", "128", "-spoil-every", "50"); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if _, err := e.startEdges(2, storeAddress, 284); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var clients sync.WaitGroup
	for n := range spoiledStreams {
		clients.Go(func() { e.readStream(n%2, fmt.Sprintf("stream-%d", n)) })
		if n == 100 && e.trouble {
			servers["llm-1"].signal(syscall.SIGUSR1)
		}
		time.Sleep(spoiledGap)
	}
	clients.Wait()
	time.Sleep(4 * time.Second) // runs that nobody waits for end
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for id, what := range seen.overlap {
		e.breach("id=%s %s", id, what)
	}
	return nil
}

// readStream receives one stream that may be resumed.
func (e *env) readStream(edge int, id string) {
	a := e.send(edge, request{
		method: "POST", path: fmt.Sprintf("/stream/resume/?pieces=%d", spoiledPieces), id: id, body: "hello", deadline: 14 * time.Second,
		header: map[string]string{"Model": "m", "Token-Usage": "100,200", "Prompt-Prefix": "ab12:40," + fmt.Sprintf("%x", id) + ":60"},
	})
	e.log("client id=%s status=%d complete=%t bytes=%d took=%s err=%v", id, a.status, a.complete, len(a.body), a.took.Round(time.Millisecond), a.err)
}
