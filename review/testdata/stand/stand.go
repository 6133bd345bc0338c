// Package stand holds the stand-ins of the review's cases: discovery, app servers, clients, and the start of the
// program by the run line of the deploy file. They follow the protocol and deployment pages.
package stand

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The kernel kills an edge node when the thread that started it ends, so that has to be the program's first one.
func init() { runtime.LockOSThread() }

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	CanNot = 2
)

// Case is one run of a case: its record, its temporary folder and the processes that it has started.
type Case struct {
	Root    string // the repository's root
	Trouble bool   // false with TROUBLE=0

	dir     string
	tmp     string
	started time.Time
	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	nodes   []*Node
	once    sync.Once
}

// NewCase opens the record in dir, a folder of review/. The run ends with CanNot after limit.
func NewCase(dir string, limit time.Duration) *Case {
	root, err := filepath.Abs(dir)
	for err == nil && root != "/" {
		if _, missing := os.Stat(filepath.Join(root, "go.mod")); missing == nil {
			break
		}
		root = filepath.Dir(root)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CanNot)
	}
	c := &Case{Root: root, Trouble: os.Getenv("TROUBLE") != "0", dir: dir, started: time.Now()}
	if c.tmp, err = os.MkdirTemp("", "review"); err == nil {
		c.file, err = os.Create(filepath.Join(dir, "record.txt"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CanNot)
	}
	c.record = bufio.NewWriter(c.file)
	time.AfterFunc(limit, func() {
		c.Logf("the case took longer than %v", limit)
		c.End(CanNot)
	})
	return c
}

// Logf adds a line to the record, with the time since the case began.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// Sayf adds a line to the record and prints it.
func (c *Case) Sayf(format string, args ...any) {
	c.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// End kills the case's processes, closes the record and exits.
func (c *Case) End(code int) {
	c.once.Do(func() {
		for _, n := range c.nodes {
			n.Kill()
		}
		os.RemoveAll(c.tmp)
		c.Logf("exit %d", code)
		c.mu.Lock()
		c.record.Flush()
		c.file.Close()
		os.Exit(code)
	})
	select {}
}

// Must ends the case as one that can't run if err is not nil.
func (c *Case) Must(err error) {
	if err != nil {
		c.Sayf("can't run: %v", err)
		c.End(CanNot)
	}
}

// FreeAddress returns a loopback address with a port that is free now.
func (c *Case) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	defer l.Close()
	return l.Addr().String()
}

// Node is one real edge node.
type Node struct {
	Name, Listen, Config string

	c    *Case
	cmd  *exec.Cmd
	gone chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]*)"`)

// RunLine returns the run line of the deploy file.
func (c *Case) RunLine() string {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Must(err)
	found := runLine.FindSubmatch(text)
	if found == nil {
		c.Must(errors.New("no run line in deploy/balancer.toml"))
	}
	return string(found[1])
}

// StartNode starts an edge node by the run line. env is added to its environment.
func (c *Case) StartNode(name, listen string, config []byte, file string, env ...string) *Node {
	n := &Node{Name: name, Listen: listen, Config: filepath.Join(c.tmp, file), c: c}
	c.Must(os.WriteFile(n.Config, config, 0o600))
	c.Must(n.start(env))
	c.nodes = append(c.nodes, n)
	return n
}

func (n *Node) start(env []string) error {
	log, err := os.OpenFile(filepath.Join(n.c.dir, n.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	run := n.c.RunLine()
	n.cmd = exec.Command("/bin/sh", "-c", run)
	n.cmd.Dir = n.c.Root
	n.cmd.Env = append(os.Environ(), "TMPDIR="+n.c.tmp, "NODE_NAME="+n.Name)
	n.cmd.Env = append(n.cmd.Env, env...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.gone = make(chan struct{})
	go func() { n.cmd.Wait(); close(n.gone) }()
	n.c.Logf("node %s: started process %d by %q, clients at %s", n.Name, n.cmd.Process.Pid, run, n.Listen)
	return nil
}

// Gone reports whether the process has ended.
func (n *Node) Gone() bool {
	select {
	case <-n.gone:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.c.Logf("node %s: %v", n.Name, s)
	n.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.cmd.Process.Kill()
	<-n.gone
}

// AwaitReady waits until /healthz answers 200.
func (n *Node) AwaitReady() {
	until := time.Now().Add(30 * time.Second)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Now().Before(until) {
		response, err := client.Get("http://" + n.Listen + "/healthz")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n.c.Logf("node %s: ready", n.Name)
				return
			}
		}
		if n.Gone() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	n.c.Must(fmt.Errorf("node %s is not ready", n.Name))
}

// Target is one entry of discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// Discovery serves the list and its watches.
type Discovery struct {
	c        *Case
	listener net.Listener

	mu      sync.Mutex
	rev     int
	targets []Target
	changes []list
	changed chan struct{}
	ended   chan struct{}
}

type list struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// NewDiscovery starts a discovery with a list of servers.
func (c *Case) NewDiscovery(targets []Target) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	d := &Discovery{c: c, listener: l, rev: 41, targets: targets, changed: make(chan struct{}), ended: make(chan struct{})}
	go http.Serve(l, d)
	c.Logf("discovery at %s lists %d servers", d.Addr(), len(targets))
	return d
}

// Addr returns the address.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Publish sends a change of one entry to all watches.
func (d *Discovery) Publish(t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	d.changes = append(d.changes, list{Rev: d.rev, Targets: []Target{t}})
	for i := range d.targets {
		if d.targets[i].UID == t.UID {
			d.targets[i] = t
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.c.Logf("discovery: rev %d: %s is %s", d.rev, t.UID, t.State)
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	whole := list{Rev: d.rev, All: true, Targets: append([]Target(nil), d.targets...)}
	next := len(d.changes)
	d.mu.Unlock()
	encoder := json.NewEncoder(w)
	encoder.Encode(whole)
	if r.URL.Query().Get("watch") != "1" {
		return
	}
	for {
		w.(http.Flusher).Flush()
		d.mu.Lock()
		pending := d.changes[next:]
		next = len(d.changes)
		changed := d.changed
		d.mu.Unlock()
		for _, l := range pending {
			encoder.Encode(l)
		}
		if len(pending) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		case <-d.ended:
			panic(http.ErrAbortHandler)
		}
	}
}

// CloseIn takes no new connection from now on and closes the open ones after a time.
func (d *Discovery) CloseIn(after time.Duration) {
	d.c.Logf("discovery %s takes no new connection, and closes the open ones in %v", d.Addr(), after)
	d.listener.Close()
	time.AfterFunc(after, func() { close(d.ended) })
}

// Client is one client's connection to an edge node: one request at a time.
type Client struct {
	Address string
	conn    net.Conn
	reader  *bufio.Reader
}

// Answer is what a client got.
type Answer struct {
	Status int // 0: no whole answer
	Body   string
	Err    error
	Took   time.Duration
}

// Do sends a request, its bytes as they are, and reads the answer until the deadline.
func (cl *Client) Do(raw []byte, method string, wait time.Duration) (a Answer) {
	began := time.Now()
	defer func() { a.Took = time.Since(began) }()
	if cl.conn == nil {
		conn, err := net.DialTimeout("tcp", cl.Address, wait)
		if err != nil {
			return Answer{Err: err}
		}
		cl.conn, cl.reader = conn, bufio.NewReader(conn)
	}
	cl.conn.SetDeadline(began.Add(wait))
	if _, err := cl.conn.Write(raw); err != nil {
		cl.Close()
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(cl.reader, &http.Request{Method: method})
	if err != nil {
		cl.Close()
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		cl.Close()
		return Answer{Err: err}
	}
	if response.Close {
		cl.Close()
	}
	return Answer{Status: response.StatusCode, Body: strings.TrimSpace(string(body))}
}

// Close closes the connection.
func (cl *Client) Close() {
	if cl.conn != nil {
		cl.conn.Close()
		cl.conn = nil
	}
}

// Path returns the path of a file in the case's temporary folder.
func (c *Case) Path(name string) string { return filepath.Join(c.tmp, name) }

// PID returns the process's id.
func (n *Node) PID() int { return n.cmd.Process.Pid }
