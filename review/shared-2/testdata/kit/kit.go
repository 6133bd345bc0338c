// Package kit holds what the cases of the second review have in common: it starts the project's programs with the
// commands of the deploy file, keeps the record, and ends everything that a case has started.
package kit

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// limit is how long a case may run. run.sh's own limit is longer, so that the programs are ended here.
const limit = 100 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // whether the disruption takes place
	Dir     string // temporary folder, removed at the end

	start  time.Time
	record *os.File

	mu      sync.Mutex
	broken  []string
	started []*exec.Cmd
}

// Begin opens record.txt in the folder that the first argument names. The working directory is the project's root.
func Begin() *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if len(os.Args) < 2 {
		c.Cannot(errors.New("the first argument has to name the folder of the case"))
	}
	if c.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		c.Cannot(err)
	}
	if c.Dir, err = os.MkdirTemp("", "review"); err != nil {
		c.Cannot(err)
	}
	time.AfterFunc(limit, func() { c.Cannot(fmt.Errorf("not done after %v", limit)) })
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { c.Cannot(fmt.Errorf("ended by a signal: %v", <-interrupts)) }()
	c.Note("disruption: %v", c.Trouble)
	return c
}

// Note writes a line to the record.
func (c *Case) Note(format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record != nil {
		fmt.Fprintf(c.record, "%8.3f "+format+"\n", append([]any{time.Since(c.start).Seconds()}, arguments...)...)
	}
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	c.Note("BROKEN: %s", text)
	c.mu.Lock()
	c.broken = append(c.broken, text)
	c.mu.Unlock()
}

// Check ends the case as one that could not run if err is not nil.
func (c *Case) Check(err error) {
	if err != nil {
		c.Cannot(err)
	}
}

// Require ends the case as one that could not run if a condition of the test itself does not hold.
func (c *Case) Require(holds bool, format string, arguments ...any) {
	if !holds {
		c.Cannot(fmt.Errorf(format, arguments...))
	}
}

// Cannot ends the case as one that could not run.
func (c *Case) Cannot(err error) {
	c.Note("the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	c.exit(exitCannot)
}

// End ends the case with its verdict.
func (c *Case) End() {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if len(broken) == 0 {
		c.Note("the rule held")
		fmt.Println("the rule held")
		c.exit(exitHeld)
	}
	fmt.Printf("the rule was broken %d times; first: %s\n", len(broken), broken[0])
	c.exit(exitBroken)
}

// exit ends all processes that the case has started, with their children, and exits.
func (c *Case) exit(code int) {
	c.mu.Lock()
	for _, cmd := range c.started {
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // the group; fails once all have ended
	}
	if c.Dir != "" {
		_ = os.RemoveAll(c.Dir)
	}
	os.Exit(code)
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// Start starts the run command of the deploy file with further arguments. Its log goes to a file in Dir.
func (c *Case) Start(env []string, arguments ...string) *exec.Cmd {
	text, err := os.ReadFile("deploy/balancer.toml")
	c.Check(err)
	found := runLine.FindSubmatch(text)
	c.Require(found != nil, "deploy/balancer.toml has no run command")
	line := string(found[1])
	for _, a := range arguments {
		line += " '" + a + "'"
	}
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	log, err := os.OpenFile(filepath.Join(c.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Check(err)
	cmd.Stdout = log
	cmd.Stderr = log
	c.Check(cmd.Start())
	c.mu.Lock()
	c.started = append(c.started, cmd)
	c.mu.Unlock()
	c.Note("started process %d", cmd.Process.Pid)
	return cmd
}

// Tool runs a command of the program itself, such as lockflow fleet drain, and returns its output.
func (c *Case) Tool(arguments ...string) string {
	c.Note("lockflow %s", c.hideDir(strings.Join(arguments, " ")))
	out, err := exec.Command("bin/lockflow", arguments...).CombinedOutput()
	text := strings.TrimSpace(string(out))
	if err != nil {
		text += fmt.Sprintf(" (%v)", err)
	}
	c.Note("lockflow answered: %s", c.hideDir(text))
	return text
}

// Log copies the log of the started programs to the record.
func (c *Case) Log() {
	raw, _ := os.ReadFile(filepath.Join(c.Dir, "log"))
	for line := range strings.Lines(string(raw)) {
		c.Note("log: %s", c.hideDir(strings.TrimRight(line, "\n")))
	}
}

// hideDir replaces the path of the temporary folder.
func (c *Case) hideDir(text string) string { return strings.ReplaceAll(text, c.Dir, "DIR") }

// Write writes a file in Dir and returns its path.
func (c *Case) Write(name, text string) string {
	path := filepath.Join(c.Dir, name)
	c.Check(os.WriteFile(path+".new", []byte(text), 0o600))
	c.Check(os.Rename(path+".new", path))
	return path
}

// ReadPID returns the process id in a pid file, or 0.
func ReadPID(path string) int {
	raw, _ := os.ReadFile(path)
	pid, _ := strconv.Atoi(strings.TrimSpace(string(raw)))
	return pid
}

// Listen listens on a free loopback port.
func (c *Case) Listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Check(err)
	return l
}

// FreeAddress returns a loopback address that nothing listens on.
func (c *Case) FreeAddress() string {
	l := c.Listen()
	defer l.Close()
	return l.Addr().String()
}

// AwaitReady waits until a node answers its health check with 200.
func (c *Case) AwaitReady(address string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 600 {
		if response, err := client.Get("http://" + address + "/healthz"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				c.Note("ready at its health check")
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Log()
	c.Cannot(errors.New("the node was not ready within 30 s"))
}
