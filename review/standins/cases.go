package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const stride = 5

// configure writes the first configuration: a service of model servers and one of plain ones.
func (e *env) configure(slots, connections int, resumable bool) {
	e.configureVersion(1, slots, connections, resumable, nil)
}

// configureVersion writes a configuration with a further tenant, if there is one.
func (e *env) configureVersion(version, slots, connections int, resumable bool, tenant map[string]any) {
	tenants := []map[string]any{{"name": "studio", "apiKeys": []string{"key-of-studio"}, "priority": 1, "reserved": 50000000}}
	if tenant != nil {
		tenants = append(tenants, tenant)
	}
	e.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-talk", "host": "shop.example", "pathPrefix": "/talk/", "routeType": "streaming", "timeoutMs": 15000, "targetLatencyMs": 600, "itlTargetMs": 400, "priority": 1, "service": "llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": resumable},
			{"name": "r-order", "host": "shop.example", "pathPrefix": "/order/", "routeType": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "app", "maxAttempts": 1, "public": false},
		},
		"services": []map[string]any{
			{"name": "llm", "healthPath": "/healthz", "maxConnections": connections, "protocol": "h1", "tlsEnabled": false, "runtime": map[string]any{
				"slots": slots, "kvCapacity": 408383, "kvTokenBytes": 18432, "linkMbps": 370000.0, "migrations": true, "replicas": true, "stride": stride, "most": 12,
				"pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "loadedModels": []map[string]any{{"name": "m"}}}},
			{"name": "app", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tlsEnabled": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

func (e *env) engine(n, slots, connections, gapMS int, change func(*serverSpec)) *child {
	spec := serverSpec{ID: fmt.Sprintf("i-engine%d", n), Service: "llm", Address: fmt.Sprintf("%s.%d:8080", e.subnet, 100+n), Zone: "z-a", Kind: "engine",
		Slots: slots, Queue: 3 * slots, Connections: connections, GapMS: gapMS, Stride: stride}
	if change != nil {
		change(&spec)
	}
	return e.server(spec)
}

// busiest returns the server with the most runs.
func (e *env) busiest() *child {
	runs := map[string]int{}
	for _, s := range e.lines() {
		switch at := strings.Fields(s.more); s.what {
		case "run":
			runs[at[1]]++
		case "ended":
			runs[at[1]]--
		}
	}
	var most *child
	for id, c := range e.servers {
		if most == nil || runs[id] > runs[most.spec.ID] {
			most = c
		}
	}
	e.note("server %s has %d runs, the most", most.spec.ID, runs[most.spec.ID])
	return most
}

// talk asks for a stream of a number of events.
func (e *env) talk(front string, events int) (string, answer) {
	id := newID()
	a := e.send(front, http.MethodPost, "/talk/1", id, 14*time.Second, map[string]string{
		"Model": "m", "Token-Usage": fmt.Sprintf("400,%d", events*stride), "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:200", id[:8]),
	}, "a prompt "+id)
	return id, a
}

// judgeStreams finds streams that look complete and aren't.
func (e *env) judgeStream(id string, events int, a answer) {
	if a.status/100 != 2 || !a.whole {
		return
	}
	want := strings.Builder{}
	for n := 1; n <= events; n++ {
		want.WriteString(event(id, n))
	}
	if string(a.body) != want.String() {
		e.breaks("the stream of %s ended as complete after %d of %d events", id, a.events(), events)
	}
}

// leaving: a server leaves by plan while it streams answers that have no length.
func leaving(e *env) {
	e.configure(16, 160, true)
	for n := 1; n <= 4; n++ {
		e.engine(n, 16, 160, 200, func(s *serverSpec) { s.Unframed = true })
	}
	for n := 1; n <= 3; n++ {
		e.edge(n, 3, "z-a", nil)
	}
	e.awaitReady(3)
	var all sync.WaitGroup
	until := time.Now().Add(20 * time.Second)
	for i := range 24 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			for time.Now().Before(until) {
				events := 20 + rand.IntN(40) // 4 to 12 s
				id, a := e.talk(e.front(1+i%3), events)
				e.judgeStream(id, events, a)
				if a.status/100 != 2 {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	first := e.busiest()
	if e.trouble {
		e.note("server %s leaves: it reports draining, serves for drainMs (2 s) and 1.5 s longer, and exits", first.spec.ID)
		first.tell("drain 3500")
	}
	all.Wait()
}

// slowed: a server crashes while a machine is slow; the answers have no length.
func slowed(e *env) {
	e.configure(16, 160, false)
	for n := 1; n <= 4; n++ {
		e.engine(n, 16, 160, 200, func(s *serverSpec) { s.Unframed = true })
	}
	e.edge(1, 1, "z-a", nil)
	e.awaitReady(1)
	var all sync.WaitGroup
	until := time.Now().Add(12 * time.Second)
	for range 24 {
		all.Go(func() {
			for time.Now().Before(until) {
				events := 20 + rand.IntN(40)
				id, a := e.talk(e.front(1), events)
				e.judgeStream(id, events, a)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(7 * time.Second)
	first := e.busiest()
	if e.trouble {
		e.note("machine 1 runs 5 times slower for 5 s: it gets 100 of 500 ms")
		vm := e.edges[0].cmd.Process
		go func() {
			for range 10 {
				_ = vm.Signal(syscall.SIGSTOP)
				time.Sleep(400 * time.Millisecond)
				_ = vm.Signal(syscall.SIGCONT)
				time.Sleep(100 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second + time.Duration(rand.IntN(500))*time.Millisecond)
		e.note("server %s crashes (SIGKILL)", first.spec.ID)
		_ = first.cmd.Process.Kill()
	}
	all.Wait()
}

// limit: a server crashes while the connections of a machine to it are all in use.
func limit(e *env) {
	const slots, connections, machines, users = 16, 160, 6, 80
	e.configure(slots, connections, true)
	for n := 1; n <= 3; n++ {
		e.engine(n, slots, connections, 200, func(s *serverSpec) { s.Unframed = true })
	}
	for n := 1; n <= machines; n++ {
		e.edge(n, machines, "z-a", nil)
	}
	e.awaitReady(machines)
	var all sync.WaitGroup
	until := time.Now().Add(14 * time.Second)
	for i := range users {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 3 * time.Second / users)
			for time.Now().Before(until) {
				events := 20 + rand.IntN(40) // 4 to 12 s
				id, a := e.talk(e.front(1), events)
				e.judgeStream(id, events, a)
				if a.status/100 != 2 {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(7 * time.Second)
	first := e.busiest()
	if e.trouble {
		e.note("server %s crashes (SIGKILL)", first.spec.ID)
		_ = first.cmd.Process.Kill()
	}
	all.Wait()
}

// twoRuns: answers of a model server are lost while their runs go on.
func twoRuns(e *env) { e.twoRuns("lose") }

// spoiled: answers of a model server end with wrong bytes, and their runs go on.
func spoiled(e *env) { e.twoRuns("spoil") }

func (e *env) twoRuns(how string) {
	e.configure(16, 160, true)
	for n := 1; n <= 4; n++ {
		e.engine(n, 16, 160, 100, nil)
	}
	for n := 1; n <= 3; n++ {
		e.edge(n, 3, "z-a", nil)
	}
	e.awaitReady(3)
	var all sync.WaitGroup
	until := time.Now().Add(18 * time.Second)
	for i := range 18 {
		all.Go(func() {
			for time.Now().Before(until) {
				id, a := e.talk(e.front(1+i%3), 30) // 3 s
				e.judgeStream(id, 30, a)
				if a.status/100 != 2 {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	first := e.busiest()
	if e.trouble {
		e.note("server %s loses the answer of one stream in 4, for 4 s", first.spec.ID)
		first.tell(how + " 4")
	}
	time.Sleep(4 * time.Second)
	first.tell("lose 0")
	all.Wait()
	time.Sleep(4 * time.Second)
	type span struct {
		at           string
		began, ended time.Time
	}
	runs := map[string][]*span{}
	for _, s := range e.lines() {
		words := strings.Fields(s.more)
		switch s.what {
		case "run":
			runs[s.id] = append(runs[s.id], &span{at: words[1], began: s.at})
		case "ended":
			for _, r := range runs[s.id] {
				if r.at == words[1] && r.ended.IsZero() {
					r.ended = s.at
				}
			}
		}
	}
	for id, all := range runs {
		for i, r := range all[1:] {
			before := all[i]
			if over := before.ended.Sub(r.began); before.ended.IsZero() || over > 400*time.Millisecond {
				e.breaks("%s goes on at %s while %s works on it for %.1f s more", id, r.at, before.at, over.Seconds())
			}
		}
	}
}

// kept is a client's connection that it keeps open.
type kept struct {
	conn net.Conn
	in   *bufio.Reader
}

func (k *kept) order(front string) (int, error) {
	id := newID()
	_ = k.conn.SetDeadline(time.Now().Add(3 * time.Second))
	body := "order " + id
	if _, err := fmt.Fprintf(k.conn, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nAuthorization: Token key-of-studio\r\nDeadline-Ms: 2500\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// idle: many users come at once, and their connections stay idle for longer than idleTimeoutMs.
func idle(e *env) {
	const users, timeout = 4200, 1500 * time.Millisecond
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < users+1000 {
		e.fail("the users need %d descriptors, %d are allowed", users+1000, files.Cur)
	}
	e.configure(16, 160, true)
	e.engine(1, 16, 160, 100, nil)
	for n := 1; n <= 4; n++ {
		e.server(serverSpec{ID: fmt.Sprintf("i-app%d", n), Service: "app", Address: fmt.Sprintf("%s.%d:8080", e.subnet, 150+n), Zone: "z-a", Kind: "app",
			Slots: 6, Queue: 24, Connections: 96, WorkMS: 15, Stride: stride})
	}
	for n := 1; n <= 3; n++ {
		e.edge(n, 3, "z-a", nil)
	}
	e.awaitReady(3)
	// The platform asks each second, over a connection that it keeps.
	var mu sync.Mutex
	ready, asked := 0, 0
	stop := make(chan struct{})
	go func() {
		platform := &http.Client{Timeout: time.Second}
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			r, err := platform.Get(fmt.Sprintf("http://%s.1:8220/-/readyz", e.subnet))
			status := 0
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				r.Body.Close()
				status = r.StatusCode
			}
			e.note("platform: machine 1 answers %d to its ready check, error %v", status, err)
			mu.Lock()
			if asked++; status == http.StatusOK {
				ready++
			} else {
				ready = 0
			}
			mu.Unlock()
		}
	}()
	var all sync.WaitGroup
	open, answers := 0, map[int]int{}
	var keep []*kept
	if e.trouble {
		e.note("%d users come at once, each sends one request and keeps its connection", users)
		for i := range users {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 1500 * time.Microsecond)
				c, err := net.DialTimeout("tcp", e.front(1), time.Second)
				if err != nil {
					return
				}
				k := &kept{c, bufio.NewReader(c)}
				status, err := k.order(e.front(1))
				mu.Lock()
				defer mu.Unlock()
				answers[status]++
				if err != nil {
					c.Close() // the client gives the attempt up
					return
				}
				open++
				keep = append(keep, k)
			})
		}
		all.Wait()
		e.note("%d users got an answer, by status: %v; their connections stay idle", open, answers)
	}
	// Users go on to come, ten a second. Those are judged that come when the connections of the
	// first ones have been idle for longer than idleTimeoutMs.
	quiet := time.Now()
	late, never, sent := 0, 0, 0
	for i := range 300 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			mu.Lock()
			inRotation := ready > 0
			mu.Unlock()
			if !inRotation {
				e.note("client: the platform sends no new connection to machine 1")
				return
			}
			began := time.Now()
			status := 0
			c, err := net.DialTimeout("tcp", e.front(1), time.Second)
			if err == nil {
				k := &kept{c, bufio.NewReader(c)}
				if status, err = k.order(e.front(1)); err != nil {
					c.Close()
				} else {
					mu.Lock()
					keep = append(keep, k)
					mu.Unlock()
				}
			}
			took := time.Since(began)
			e.note("client: a user that came %.1f s after the others: status %d after %.3f s, error %v", began.Sub(quiet).Seconds(), status, took.Seconds(), err)
			if began.Sub(quiet) < 18*time.Second {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			if took > timeout {
				late++
			}
			if took > timeout+500*time.Millisecond {
				never++
			}
		})
	}
	all.Wait()
	close(stop)
	e.note("%d requests sent; %d had no answer at timeoutMs (1.5 s), %d of them none half a second later", sent, late, never)
	if never >= 8 && 2*never > late {
		e.breaks("%d of %d requests had no answer at their route's timeoutMs, %d of them none half a second later; machine 1 said that it is ready", late, sent, never)
	}
	for _, k := range keep {
		k.conn.Close()
	}
}

// spentTwice: the store comes back from a copy of before a tenant's first grant, and all machines are
// killed before they hear of it.
func spentTwice(e *env) {
	const reserved, prompt, events = 40000, 400, 20
	e.configure(16, 160, false)
	for n := 1; n <= 4; n++ {
		e.engine(n, 16, 160, 20, nil)
	}
	for n := 1; n <= 3; n++ {
		e.edge(n, 3, "z-a", nil)
	}
	e.awaitReady(3)
	e.store.keepCopy()
	e.note("the store's copy is made; then the operator adds the tenant fresh with %d tokens", reserved)
	e.configureVersion(2, 16, 160, false, map[string]any{"name": "fresh", "apiKeys": []string{"key-of-fresh"}, "priority": 1, "reserved": reserved})
	var all sync.WaitGroup
	var mu sync.Mutex
	got, statuses := 0, map[int]int{}
	until := time.Now().Add(22 * time.Second)
	for i := range 9 {
		all.Go(func() {
			for time.Now().Before(until) {
				id := newID()
				a := e.send(e.front(1+i%3), http.MethodPost, "/talk/1", id, 5*time.Second, map[string]string{
					"Authorization": "Token key-of-fresh", "Model": "m", "Token-Usage": fmt.Sprintf("%d,%d", prompt, events*stride),
					"Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:200", id[:8]),
				}, "a prompt "+id)
				mu.Lock()
				statuses[a.status]++
				if a.status/100 == 2 { // the prompt was read, and these events were delivered
					got += prompt + a.events()*stride
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	before := got
	mu.Unlock()
	e.note("%d tokens were consumed so far", before)
	if e.trouble {
		e.note("the store is away for a second, all machines are killed, and the store comes back from the copy")
		e.store.leaveForAMoment()
		e.mu.Lock()
		edges := slices.Clone(e.edges)
		e.mu.Unlock()
		for _, c := range edges {
			_ = c.cmd.Process.Kill()
		}
		for _, c := range edges {
			<-c.ended
		}
		time.Sleep(time.Second)
		e.store.comeBack()
		for _, c := range edges {
			c.again()
		}
	}
	all.Wait()
	e.note("%d tokens consumed of %d, by status: %v", got, reserved, statuses)
	if got > reserved {
		e.breaks("tenant fresh got %d tokens, %d of them before the machines were killed; reserved are %d", got, before, reserved)
	}
}
