// Package redistest is a stand-in for a Redis server, for tests: as much of RESP 2 and of the commands
// as a counter's script takes, with the script run by a Lua of its own. It can be slow, cut off,
// replaced by an empty one, set back to an older state, refuse all, or show another time.
package redistest

import (
	"bufio"
	"context"
	"crypto/sha1"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	lua "github.com/yuin/gopher-lua"
)

// Server is a stand-in. Its methods are safe for concurrent use.
type Server struct {
	l   net.Listener
	all sync.WaitGroup

	mu      sync.Mutex
	db      map[string]entry
	runID   string
	starts  int
	scripts map[string]*lua.FunctionProto
	clock   func() time.Time
	late    time.Duration
	refuse  string
	dark    bool // what comes is taken and not answered
	auth    string
	conns   map[net.Conn]bool
	calls   int
	closed  bool
}

type entry struct {
	text string
	hash map[string]string
	ends time.Time // zero is never
}

// Start starts a server on a loopback address of its own.
func Start() (*Server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting a counter's stand-in: %w", err)
	}
	s := New()
	s.l = l
	s.all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.closed {
				c.Close()
			}
			s.conns[c] = true
			s.mu.Unlock()
			s.all.Go(func() { s.serve(c) })
		}
	})
	return s, nil
}

// New makes a server that does not listen: Do has it run commands.
func New() *Server {
	s := &Server{clock: time.Now, conns: make(map[net.Conn]bool), scripts: make(map[string]*lua.FunctionProto)}
	s.Replace()
	return s
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.l.Addr().String() }

// Close ends it.
func (s *Server) Close() {
	s.l.Close()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Cut()
	s.all.Wait()
}

// Cut ends all connections.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// Replace puts an empty server in its place, with another run id, and ends the connections.
func (s *Server) Replace() {
	s.mu.Lock()
	s.starts++
	s.runID = fmt.Sprintf("%040d", s.starts)
	s.db = make(map[string]entry)
	clear(s.scripts)
	s.mu.Unlock()
	s.Cut()
}

// Set changes how it behaves: answers come so late, all commands are refused with a text (such as
// "LOADING Redis is loading"), or none is answered.
func (s *Server) Set(late time.Duration, refuse string, dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late, s.refuse, s.dark = late, refuse, dark
}

// Require has it take commands only after AUTH with a password.
func (s *Server) Require(password string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.auth = password
}

// Clock has it show another time.
func (s *Server) Clock(now func() time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = now
}

// Calls is how many scripts it has run.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Size is how many keys it holds.
func (s *Server) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.db {
		s.get(k)
	}
	return len(s.db)
}

// Snapshot gives a call that sets all data back to what it is now.
func (s *Server) Snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := copied(s.db)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.db = copied(old)
	}
}

func copied(db map[string]entry) map[string]entry {
	all := make(map[string]entry, len(db))
	for k, e := range db {
		e.hash = maps.Clone(e.hash)
		all[k] = e
	}
	return all
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in, known := bufio.NewReader(c), false
	for {
		args, err := read(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		late, refuse, dark, auth := s.late, s.refuse, s.dark, s.auth
		s.mu.Unlock()
		if dark {
			continue
		}
		time.Sleep(late)
		var reply any
		switch name := strings.ToUpper(args[0]); {
		case refuse != "":
			reply = errors.New(refuse)
		case name == "AUTH":
			if known = args[len(args)-1] == auth; known {
				reply = status("OK")
			} else {
				reply = errors.New("WRONGPASS invalid username-password pair or user is disabled.") //nolint:revive,staticcheck // the text that Redis sends
			}
		case auth != "" && !known:
			reply = errors.New("NOAUTH Authentication required.") //nolint:revive,staticcheck // the text that Redis sends
		default:
			reply = s.Do(args...)
		}
		if _, err := c.Write(encode(nil, reply)); err != nil {
			return
		}
	}
}

// read reads a command: an array of bulk strings.
func read(in *bufio.Reader) ([]string, error) {
	n, err := length(in, '*')
	if err != nil || n < 1 || n > 1<<20 {
		return nil, fmt.Errorf("an array of %d: %w", n, err)
	}
	args := make([]string, n)
	for i := range args {
		size, err := length(in, '$')
		if err != nil || size < 0 || size > 1<<20 {
			return nil, fmt.Errorf("a string of %d: %w", size, err)
		}
		raw := make([]byte, size+2)
		if _, err := io.ReadFull(in, raw); err != nil {
			return nil, err
		}
		args[i] = string(raw[:size])
	}
	return args, nil
}

func length(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%q where %q was due", line, kind)
	}
	return strconv.Atoi(strings.TrimRight(line[1:], "\r\n"))
}

type status string

func encode(b []byte, reply any) []byte {
	switch v := reply.(type) {
	case nil:
		return append(b, "$-1\r\n"...)
	case error:
		return append(b, "-"+v.Error()+"\r\n"...)
	case status:
		return append(b, "+"+string(v)+"\r\n"...)
	case int:
		return append(b, ":"+strconv.Itoa(v)+"\r\n"...)
	case string:
		return append(b, "$"+strconv.Itoa(len(v))+"\r\n"+v+"\r\n"...)
	case []any:
		b = append(b, "*"+strconv.Itoa(len(v))+"\r\n"...)
		for _, e := range v {
			b = encode(b, e)
		}
		return b
	}
	panic(fmt.Sprintf("a reply of %T", reply))
}

// Do runs one command and gives its reply: nil, an error, an int, a string or a list of those.
func (s *Server) Do(args ...string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch strings.ToUpper(args[0]) {
	case "PING":
		return status("PONG")
	case "EVAL", "EVALSHA":
		return s.eval(strings.EqualFold(args[0], "EVALSHA"), args[1:])
	}
	return s.run(args)
}

// eval runs a script as one command.
func (s *Server) eval(bySum bool, args []string) any {
	if len(args) < 2 {
		return errors.New("ERR wrong number of arguments for 'eval' command")
	}
	sum := args[0]
	if !bySum {
		h := sha1.Sum([]byte(args[0]))
		sum = hex.EncodeToString(h[:])
		if s.scripts[sum] == nil {
			l := lua.NewState()
			f, err := l.LoadString(args[0])
			l.Close()
			if err != nil {
				return fmt.Errorf("ERR Error compiling script: %w", err)
			}
			s.scripts[sum] = f.Proto
		}
	}
	proto := s.scripts[sum]
	if proto == nil {
		return errors.New("NOSCRIPT No matching script. Please use EVAL.") //nolint:revive,staticcheck // the text that Redis sends
	}
	n, err := strconv.Atoi(args[1])
	if err != nil || n < 0 || n > len(args)-2 {
		return errors.New("ERR Number of keys can't be greater than number of args")
	}
	s.calls++
	l := lua.NewState()
	defer l.Close()
	list := func(all []string) *lua.LTable {
		t := l.NewTable()
		for _, a := range all {
			t.Append(lua.LString(a))
		}
		return t
	}
	l.SetGlobal("KEYS", list(args[2:2+n]))
	l.SetGlobal("ARGV", list(args[2+n:]))
	r := l.NewTable()
	r.RawSetString("call", l.NewFunction(func(l *lua.LState) int {
		var command []string
		for i := 1; i <= l.GetTop(); i++ {
			command = append(command, l.CheckString(i))
		}
		reply := s.run(command)
		if err, is := reply.(error); is {
			l.RaiseError("%s", err.Error())
		}
		l.Push(toLua(l, reply))
		return 1
	}))
	l.SetGlobal("redis", r)
	l.Push(l.NewFunctionFromProto(proto))
	if err := l.PCall(0, 1, nil); err != nil {
		return fmt.Errorf("ERR Error running script: %s", strings.ReplaceAll(strings.ReplaceAll(err.Error(), "\n", " "), "\r", " "))
	}
	return fromLua(l.Get(-1))
}

func toLua(l *lua.LState, reply any) lua.LValue {
	switch v := reply.(type) {
	case nil:
		return lua.LFalse
	case int:
		return lua.LNumber(v)
	case string:
		return lua.LString(v)
	case status:
		t := l.NewTable()
		t.RawSetString("ok", lua.LString(v))
		return t
	case []any:
		t := l.NewTable()
		for i, e := range v {
			t.RawSetInt(i+1, toLua(l, e))
		}
		return t
	}
	panic(fmt.Sprintf("a reply of %T", reply))
}

func fromLua(v lua.LValue) any {
	switch v := v.(type) {
	case lua.LString:
		return string(v)
	case lua.LNumber:
		return int(v) // as Redis does: the rest of a number is lost
	case *lua.LTable:
		all := []any{}
		for i := 1; i <= v.Len(); i++ {
			all = append(all, fromLua(v.RawGetInt(i)))
		}
		return all
	}
	return nil
}

// get finds what has not ended.
func (s *Server) get(key string) (entry, bool) {
	e, ok := s.db[key]
	if ok && !e.ends.IsZero() && !s.clock().Before(e.ends) {
		delete(s.db, key)
		return entry{}, false
	}
	return e, ok
}

var errArgs = errors.New("ERR wrong number of arguments")

// run runs a command on the data.
func (s *Server) run(args []string) any {
	name, args := strings.ToUpper(args[0]), args[1:]
	minArguments := map[string]int{"TIME": 0, "INFO": 0, "GET": 1, "SET": 2, "DEL": 1, "HGET": 2, "HMGET": 2, "HGETALL": 1, "HSET": 3, "HDEL": 2, "PEXPIRE": 2}
	n, ok := minArguments[name]
	switch {
	case !ok:
		return fmt.Errorf("ERR unknown command '%s'", name)
	case len(args) < n:
		return errArgs
	case name == "TIME":
		us := s.clock().UnixMicro()
		return []any{strconv.FormatInt(us/1e6, 10), strconv.FormatInt(us%1e6, 10)}
	case name == "INFO":
		return "# Server\r\nredis_version:7.2.4\r\nrun_id:" + s.runID + "\r\ntcp_port:6379\r\n"
	}
	key := args[0]
	e, is := s.get(key)
	if hashes := strings.HasPrefix(name, "H"); is && (hashes || name == "GET") && hashes != (e.hash != nil) {
		return errors.New("WRONGTYPE Operation against a key holding the wrong kind of value")
	}
	switch name {
	case "GET":
		if !is {
			return nil
		}
		return e.text
	case "SET":
		return s.set(args)
	case "DEL":
		delete(s.db, key)
		return map[bool]int{true: 1}[is]
	case "PEXPIRE":
		return s.pexpire(args, e, is)
	}
	return s.runHash(name, args, e, is)
}

// set is SET KEY VALUE [PX MILLISECONDS].
func (s *Server) set(args []string) any {
	e := entry{text: args[1]}
	if len(args) == 4 && strings.EqualFold(args[2], "PX") {
		ms, err := strconv.ParseInt(args[3], 10, 64)
		if err != nil || ms <= 0 {
			return errors.New("ERR invalid expire time in 'set' command")
		}
		e.ends = s.clock().Add(time.Duration(ms) * time.Millisecond)
	} else if len(args) != 2 {
		return errors.New("ERR syntax error")
	}
	s.db[args[0]] = e
	return status("OK")
}

// pexpire is PEXPIRE KEY MILLISECONDS of what the key has, if it is there.
func (s *Server) pexpire(args []string, e entry, is bool) any {
	ms, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return errors.New("ERR value is not an integer or out of range")
	}
	if !is {
		return 0
	}
	e.ends = s.clock().Add(time.Duration(ms) * time.Millisecond)
	s.db[args[0]] = e
	return 1
}

// runHash runs a command on a hash: what the key has, if it is there.
func (s *Server) runHash(name string, args []string, e entry, is bool) any {
	key := args[0]
	switch name {
	case "HGET":
		if v, ok := e.hash[args[1]]; ok {
			return v
		}
		return nil
	case "HMGET":
		all := []any{}
		for _, f := range args[1:] {
			if v, ok := e.hash[f]; ok {
				all = append(all, v)
			} else {
				all = append(all, nil)
			}
		}
		return all
	case "HGETALL":
		all := []any{}
		for f, v := range e.hash {
			all = append(all, f, v)
		}
		return all
	case "HSET":
		if len(args)%2 == 0 {
			return errArgs
		}
		if e.hash == nil {
			e.hash = make(map[string]string)
		}
		for i := 1; i < len(args); i += 2 {
			e.hash[args[i]] = args[i+1]
		}
		s.db[key] = e
		return len(args) / 2
	default: // HDEL
		for _, f := range args[1:] {
			delete(e.hash, f)
		}
		if is && len(e.hash) == 0 {
			delete(s.db, key)
		}
		return 1
	}
}
