package redistest

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const microsecondsPerSecond = 1e6

var (
	errArgs      = errors.New("ERR wrong number of arguments")
	errWrongType = errors.New("WRONGTYPE Operation against a key holding the wrong kind of value")
)

// minArguments maps each supported command to its minimum number of arguments.
var minArguments = map[string]int{
	"TIME": 0, "INFO": 0, "GET": 1, "SET": 2, "DEL": 1, "HGET": 2, "HMGET": 2, "HGETALL": 1, "HSET": 3, "HDEL": 2, "PEXPIRE": 2,
}

// Do runs one command and returns its reply: nil, an error, an int, a string, a status or a list of these.
func (s *Server) Do(args ...string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch strings.ToUpper(args[0]) {
	case "PING":
		return status("PONG")
	case "EVAL":
		return s.eval(false, args[1:])
	case "EVALSHA":
		return s.eval(true, args[1:])
	}
	return s.run(args)
}

// get returns the value of a key. An expired key is removed.
func (s *Server) get(key string) (value entry, ok bool) {
	value, ok = s.data[key]
	if ok && !value.expiresAt.IsZero() && !s.now().Before(value.expiresAt) {
		delete(s.data, key)
		return entry{}, false
	}
	return value, ok
}

// run runs a command other than PING or a script. s.mu must be locked.
func (s *Server) run(args []string) any {
	name, args := strings.ToUpper(args[0]), args[1:]
	required, isKnown := minArguments[name]
	switch {
	case !isKnown:
		return fmt.Errorf("ERR unknown command '%s'", name)
	case len(args) < required:
		return errArgs
	case name == "TIME":
		microseconds := s.now().UnixMicro()
		return []any{strconv.FormatInt(microseconds/microsecondsPerSecond, 10), strconv.FormatInt(microseconds%microsecondsPerSecond, 10)}
	case name == "INFO":
		return "# Server\r\nredis_version:7.2.4\r\nrun_id:" + s.runID + "\r\ntcp_port:6379\r\n"
	}
	return s.runOnKey(name, args)
}

// runOnKey runs a command whose first argument is a key.
func (s *Server) runOnKey(name string, args []string) any {
	key := args[0]
	value, exists := s.get(key)
	needsHash := strings.HasPrefix(name, "H")
	if exists && (needsHash || name == "GET") && needsHash != (value.hash != nil) {
		return errWrongType
	}
	switch name {
	case "GET":
		if !exists {
			return nil
		}
		return value.text
	case "SET":
		return s.set(args)
	case "DEL":
		delete(s.data, key)
		return map[bool]int{true: 1}[exists]
	case "PEXPIRE":
		return s.pexpire(args, value, exists)
	}
	return s.runOnHash(name, args, value, exists)
}

// set runs SET KEY VALUE [PX MILLISECONDS].
func (s *Server) set(args []string) any {
	value := entry{text: args[1]}
	hasExpiry := len(args) == 4 && strings.EqualFold(args[2], "PX")
	switch {
	case hasExpiry:
		milliseconds, err := strconv.ParseInt(args[3], 10, 64)
		if err != nil || milliseconds <= 0 {
			return errors.New("ERR invalid expire time in 'set' command")
		}
		value.expiresAt = s.now().Add(time.Duration(milliseconds) * time.Millisecond)
	case len(args) != 2:
		return errors.New("ERR syntax error")
	}
	s.data[args[0]] = value
	return status("OK")
}

// pexpire runs PEXPIRE KEY MILLISECONDS.
func (s *Server) pexpire(args []string, value entry, exists bool) any {
	milliseconds, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return errors.New("ERR value is not an integer or out of range")
	}
	if !exists {
		return 0
	}
	value.expiresAt = s.now().Add(time.Duration(milliseconds) * time.Millisecond)
	s.data[args[0]] = value
	return 1
}

// runOnHash runs a command on a hash.
func (s *Server) runOnHash(name string, args []string, value entry, exists bool) any {
	key := args[0]
	fields := args[1:]
	switch name {
	case "HGET":
		return fieldReply(value.hash, fields[0])
	case "HMGET":
		replies := []any{}
		for _, field := range fields {
			replies = append(replies, fieldReply(value.hash, field))
		}
		return replies
	case "HGETALL":
		replies := []any{}
		for field, text := range value.hash {
			replies = append(replies, field, text)
		}
		return replies
	case "HSET":
		return s.hset(key, fields, value)
	default: // HDEL
		for _, field := range fields {
			delete(value.hash, field)
		}
		if exists && len(value.hash) == 0 {
			delete(s.data, key)
		}
		return 1
	}
}

// fieldReply returns the reply for one field of a hash, which is nil if the field does not exist.
func fieldReply(hash map[string]string, field string) any {
	if text, ok := hash[field]; ok {
		return text
	}
	return nil
}

// hset runs HSET KEY {FIELD TEXT}.
func (s *Server) hset(key string, pairs []string, value entry) any {
	if len(pairs)%2 != 0 {
		return errArgs
	}
	if value.hash == nil {
		value.hash = make(map[string]string)
	}
	for i := 0; i < len(pairs); i += 2 {
		value.hash[pairs[i]] = pairs[i+1]
	}
	s.data[key] = value
	return len(pairs) / 2
}
