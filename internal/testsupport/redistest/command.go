package redistest

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

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
