package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// env is one small deployment on loopback addresses.
type env struct {
	trouble bool
	temp    string
	subnet  string // the first three octets
	store   *store
	control string
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	children []*child
	servers  map[string]*child
	edges    []*child
	seen     []seen
	broken   []string
}

type child struct {
	name  string
	cmd   *exec.Cmd
	in    io.WriteCloser
	ended chan struct{}
	spec  serverSpec
	again func() // starts it again
}

// seen is one line of a server.
type seen struct {
	at             time.Time
	what, id, more string
}

func newEnv(folder string) *env {
	e := &env{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: newStore(), servers: map[string]*child{}}
	var err error
	if e.temp, err = os.MkdirTemp("", "review"); err != nil {
		cannot(err)
	}
	if e.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		cannot(err)
	}
	for try := 0; ; try++ {
		e.subnet = fmt.Sprintf("127.%d.%d", 2+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", e.subnet+".250:8223")
		if err == nil {
			l.Close()
			break
		}
		if try > 20 {
			cannot(err)
		}
	}
	if err := e.store.serve(e.subnet + ".250:8223"); err != nil {
		cannot(err)
	}
	e.control = e.subnet + ".250:8224"
	l, err := net.Listen("tcp", e.control)
	if err != nil {
		cannot(err)
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(e.registry)) }()
	e.note("a deployment on %s.*, with the disruption: %t", e.subnet, e.trouble)
	return e
}

// registry takes the entries that the servers write into the store.
func (e *env) registry(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, "/server/")
	var entry map[string]any
	if json.NewDecoder(r.Body).Decode(&entry) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	entry["born"] = int64(entry["born"].(float64))
	e.store.beat(id)
	e.store.put("servers", id, entry)
}

func (e *env) note(format string, values ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, values...))
}

// breaks records that the rule is broken.
func (e *env) breaks(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	e.note("BROKEN: %s", text)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken = append(e.broken, text)
}

func cannot(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

// fail ends everything with 2.
func (e *env) fail(format string, values ...any) {
	e.note("could not run: "+format, values...)
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", values...)
	e.close()
	os.Exit(2)
}

func (e *env) close() {
	e.mu.Lock()
	children := slices.Clone(e.children)
	e.mu.Unlock()
	for _, c := range children {
		_ = c.cmd.Process.Signal(syscall.SIGCONT)
		_ = c.cmd.Process.Kill()
	}
	for _, c := range children {
		<-c.ended
	}
	os.RemoveAll(e.temp)
}

func (e *env) start(name string, cmd *exec.Cmd, line func(string)) *child {
	c := &child{name: name, cmd: cmd, ended: make(chan struct{})}
	var err error
	if c.in, err = cmd.StdinPipe(); err != nil {
		cannot(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		cannot(err)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		e.fail("start %s: %v", name, err)
	}
	e.mu.Lock()
	e.children = append(e.children, c)
	e.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			line(lines.Text())
		}
		err := cmd.Wait()
		e.note("process %s ended: %v", name, err)
		close(c.ended)
	}()
	return c
}

// server starts a server as a process.
func (e *env) server(spec serverSpec) *child {
	spec.Control = e.control
	text, _ := json.Marshal(spec)
	self, err := os.Executable()
	if err != nil {
		cannot(err)
	}
	cmd := exec.Command(self, "server", string(text))
	cmd.Stderr = os.Stderr
	c := e.start(spec.ID, cmd, e.heard)
	c.spec = spec
	e.mu.Lock()
	e.servers[spec.ID] = c
	e.mu.Unlock()
	return c
}

func (e *env) heard(line string) {
	words := strings.SplitN(line, " ", 4)
	for len(words) < 4 {
		words = append(words, "")
	}
	at, _ := strconv.ParseInt(words[0], 10, 64)
	s := seen{time.Unix(0, at), words[1], words[2], words[3]}
	e.mu.Lock()
	e.seen = append(e.seen, s)
	e.mu.Unlock()
	e.note("server: %s %s %s", s.what, s.id, s.more)
}

func (e *env) lines() []seen {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.seen)
}

func (c *child) tell(text string) { fmt.Fprintln(c.in, text) }

var placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)

// edge starts a machine's process with the command and the template of the deploy file.
func (e *env) edge(n, of int, zone string, class map[string]any) {
	ip := fmt.Sprintf("%s.%d", e.subnet, n)
	seeds := []string{}
	for i := 1; i <= min(of, 3); i++ {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8229", e.subnet, i))
	}
	fields := map[string]any{
		"nodeName": fmt.Sprintf("edge-%s-%d", zone, n), "ip": ip, "zone": zone, "region": "r",
		"listen.frontend": ip + ":8227", "listen.ready": ip + ":8220", "listen.controlPlane": ip + ":8229", "internalPorts.0": 7340,
		"seedNodes": seeds, "platform.address": e.subnet + ".250:8223", "bounds.configApplyMs": 2000, "bounds.graceS": 8,
		"bounds.retryBudgetRatio": 0.2, "bounds.retryMinExtra": 52, "bounds.retryWindowS": 10,
		"limits.cpuShare": 0.4, "limits.linkMbps": 1000.0, "limits.memoryMb": 134,
	}
	for key, value := range class {
		fields[key] = value
	}
	template, err := os.ReadFile("deploy/edge.hujson")
	if err != nil {
		e.fail("%v", err)
	}
	text := placeholder.ReplaceAllFunc(template, func(m []byte) []byte {
		parts := placeholder.FindSubmatch(m)
		value, has := fields[string(parts[1])]
		if !has {
			e.fail("the template names %s", parts[1])
		}
		if len(parts[2]) == 0 {
			return fmt.Append(nil, value)
		}
		encoded, _ := json.Marshal(value)
		return encoded
	})
	path := filepath.Join(e.temp, fmt.Sprintf("node-%d.yaml", n))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		e.fail("%v", err)
	}
	if _, err := os.Stat("target/buckthorn-edge"); err != nil {
		e.fail("build by the deploy file first: %v", err)
	}
	self, err := os.Executable()
	if err != nil {
		e.fail("%v", err)
	}
	// The platform bounds the descriptors of the process and then runs the deploy file's command.
	cmd := exec.Command(self, "bounded", "target/buckthorn-edge", path)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	log, err := os.OpenFile(filepath.Join(e.temp, fmt.Sprintf("node-%d.log", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.fail("%v", err)
	}
	if os.Getenv("LOGS") != "" {
		if log, err = os.OpenFile(fmt.Sprintf("%s-%d.log", os.Getenv("LOGS"), n), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			e.fail("%v", err)
		}
	}
	cmd.Stderr = log
	c := e.start(fmt.Sprintf("edge-%d", n), cmd, func(string) {})
	c.again = func() { e.edge(n, of, zone, class) }
	e.mu.Lock()
	e.edges = append(e.edges, c)
	e.mu.Unlock()
}

func (e *env) front(n int) string { return fmt.Sprintf("%s.%d:8227", e.subnet, n) }

// awaitReady waits until n machines say that they are ready, and a little longer: they find each
// other through the store.
func (e *env) awaitReady(n int) {
	deadline := time.Now().Add(25 * time.Second)
	for i := 1; i <= n; {
		r, err := http.Get(fmt.Sprintf("http://%s.%d:8220/-/readyz", e.subnet, i))
		if err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				i++
				continue
			}
		}
		if time.Now().After(deadline) {
			e.fail("machine %d isn't ready", i)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(7 * time.Second) // traffic starts 10 s after the machines do
	e.note("traffic starts")
}

// answer is what a client got.
type answer struct {
	sent, done time.Time
	status     int
	signed     bool
	retryAfter string
	body       []byte
	whole      bool // the answer is complete by its framing
	err        error
}

var client = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxConnsPerHost: 0,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// send makes one attempt of a client.
func (e *env) send(front, method, path, id string, deadline time.Duration, header map[string]string, body string) answer {
	a := answer{sent: time.Now()}
	q, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		cannot(err)
	}
	q.Host = "shop.example"
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Authorization", "Token key-of-studio")
	q.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		q.Header.Set(name, value)
	}
	e.note("client: sends %s to %s", id, front)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := client.Do(q.WithContext(ctx))
	if err != nil {
		a.err, a.done = err, time.Now()
		e.note("client: %s: no answer: %v", id, err)
		return a
	}
	defer r.Body.Close()
	a.status, a.signed, a.retryAfter = r.StatusCode, r.Header.Get("Server-Signature") != "", r.Header.Get("Retry-After")
	a.body, a.err = io.ReadAll(r.Body)
	a.whole, a.done = a.err == nil, time.Now()
	e.note("client: %s: status %d, signed %t, %d bytes, %d events, complete %t, error %v", id, a.status, a.signed, len(a.body), a.events(), a.whole, a.err)
	return a
}

// events returns how many events an answer has.
func (a answer) events() int { return bytes.Count(a.body, []byte("\n\n")) }

// id returns a new id of a client's attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
