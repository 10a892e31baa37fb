package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// env is a small deployment on loopback addresses.
type env struct {
	trouble bool
	dir     string // temporary
	subnet  string // the first three octets of all addresses
	store   *store

	mu        sync.Mutex
	record    *os.File
	processes []*process
	broken    []string
	// onLine, if set, gets each line that a server says.
	onLine func(line string)
}

// process is a process that the case has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// cases are the cases by the name of their folder.
var cases = map[string]func(e *env) error{}

// runCase plays a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the
// case couldn't run.
func runCase(name string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	e := &env{trouble: os.Getenv("TROUBLE") != "0", subnet: fmt.Sprintf("127.%d.%d", 1+rand.IntN(200), 1+rand.IntN(250)), store: newStore()}
	defer e.close()
	var err error
	if e.record, err = os.Create("review/" + name + "/record.txt"); err == nil {
		e.dir, err = os.MkdirTemp("", "standins-2-")
	}
	if err == nil {
		e.log("case=%s trouble=%t", name, e.trouble)
		err = play(e)
	}
	if err != nil {
		e.log("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, what := range e.broken {
		e.log("BROKEN %s", what)
	}
	e.log("end: broken=%d", len(e.broken))
	fmt.Printf("case %s, trouble %t: %d breaches, see record.txt\n", name, e.trouble, len(e.broken))
	if len(e.broken) > 0 {
		return 1
	}
	return 0
}

// close ends all processes.
func (e *env) close() {
	for _, p := range e.processes {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(e.dir)
	}
}

// log writes a line of the record.
func (e *env) log(format string, values ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, values...))
}

// breach records a breach of the rule.
func (e *env) breach(format string, values ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.broken = append(e.broken, fmt.Sprintf(format, values...))
}

// Write implements io.Writer: what servers say goes to the record.
func (e *env) Write(b []byte) (int, error) {
	if e.onLine != nil {
		for line := range strings.Lines(string(b)) {
			e.onLine(line)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.Write(b)
}

// start starts a process.
func (e *env) start(name string, output io.Writer, path string, arguments ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(path, arguments...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.dir, "GOMAXPROCS=1"} // as on a machine with one processor
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	e.processes = append(e.processes, p)
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// startStore serves the store and returns its address.
func (e *env) startStore() (string, error) {
	l, err := net.Listen("tcp", e.subnet+".250:8223")
	if err != nil {
		return "", err
	}
	go func() { _ = e.store.serve(l) }()
	return l.Addr().String(), nil
}

// configure writes the configuration as the operator does.
func (e *env) configure(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	e.store.put("op", "config", data)
	return nil
}

// serverAddress returns the address of the i-th server.
func (e *env) serverAddress(i int) string { return fmt.Sprintf("%s.%d:8080", e.subnet, 100+i) }

// startServer starts a server process; listed is the address in its entry's place.
func (e *env) startServer(i int, id, service, storeAddress string, more ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	arguments := append([]string{"server", "-id", id, "-service", service, "-address", e.serverAddress(i), "-store", storeAddress}, more...)
	return e.start(id, e, self, arguments...)
}

// edgeIP returns the address of the i-th entry machine.
func (e *env) edgeIP(i int) string { return fmt.Sprintf("%s.%d", e.subnet, 1+i) }

// edge settings, as of the sheet of the site with which the case is played.
type edgeSettings struct {
	memoryMB int
	strength float64
	stores   []string // by machine
	peers    []string
}

// startEdge starts an entry process with the command of the deploy file and settings as its
// template has them.
func (e *env) startEdge(i int, s edgeSettings) (*process, error) {
	ip := e.edgeIP(i)
	text := fmt.Sprintf(`{
  "vm": "edge-%d", "ip": %q, "data_centre": "z-a", "region": "r", "strength": %g, "link_mbit": 1000.0,
  "listen": "%s:8227", "ready_listen": "%s:8220", "peer_listen": "%s:8229", "notice_listen": "%s:7340", "metrics_listen": "%s:9180",
  "peers": ["%s"], "store": %q, "configuration_in_force": "2000ms", "drain_limit": "8s",
  "repeats": { "share": 0.2, "extra": 58, "window": "10s" }, "memory_bytes": %d000000,
}`, i, ip, s.strength, ip, ip, ip, ip, ip, strings.Join(s.peers, `","`), s.stores[i], s.memoryMB)
	path := filepath.Join(e.dir, fmt.Sprintf("edge-%d.hujson", i))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(e.dir, fmt.Sprintf("edge-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	return e.start(fmt.Sprintf("edge-%d", i), log, "target/buckthorn-edge", path)
}

// startEdges starts entry processes and waits until the platform would send them clients.
func (e *env) startEdges(n int, storeAddress string, memoryMB int) ([]*process, error) {
	s := edgeSettings{memoryMB: memoryMB, strength: 0.4}
	for i := range n {
		s.stores = append(s.stores, storeAddress)
		s.peers = append(s.peers, e.edgeIP(i)+":8229")
	}
	var edges []*process
	for i := range n {
		p, err := e.startEdge(i, s)
		if err != nil {
			return nil, err
		}
		edges = append(edges, p)
	}
	for i := range n {
		if err := e.awaitReady(i, 15*time.Second); err != nil {
			return nil, err
		}
	}
	return edges, nil
}

// awaitReady waits until an entry process answers the platform's question with 200.
func (e *env) awaitReady(i int, limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:8220/-/readyz", e.edgeIP(i)))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("edge-%d is not ready", i)
}

// answer is what a client got.
type answer struct {
	id        string
	status    int
	signature string
	body      string
	complete  bool // by the protocol
	took      time.Duration
	err       error
}

// request is one client attempt.
type request struct {
	method, path, id, body string
	header                 map[string]string
	deadline               time.Duration
}

// send sends one client attempt to an entry machine on a connection of its own.
func (e *env) send(edge int, q request) answer {
	began := time.Now()
	a := answer{id: q.id}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequest(q.method, fmt.Sprintf("http://%s:8227%s", e.edgeIP(edge), q.path), strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host, r.GetBody = "shop.example", nil
	r.Header.Set("Attempt-Id", q.id)
	r.Header.Set("Authorization", "Token key-1")
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: transport, Timeout: q.deadline + time.Second}
	response, err := client.Do(r)
	if err != nil {
		a.err, a.took = err, time.Since(began)
		return a
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.status, a.signature, a.body = response.StatusCode, response.Header.Get("Server-Signature"), string(data)
	a.complete, a.err, a.took = err == nil, err, time.Since(began)
	return a
}
