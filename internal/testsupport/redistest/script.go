package redistest

import (
	"crypto/sha1"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"

	lua "github.com/yuin/gopher-lua"
)

var errNoScript = errors.New("NOSCRIPT No matching script. Please use EVAL.") //nolint:revive,staticcheck // the text that Redis sends

// lineBreaks replaces the line breaks in error texts, since a line break ends an error reply.
var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// eval runs EVAL, or EVALSHA if isHash is set. args are the script's source or SHA-1, the number of keys, the keys and the
// arguments. s.mu must be locked.
func (s *Server) eval(isHash bool, args []string) any {
	if len(args) < 2 {
		return errors.New("ERR wrong number of arguments for 'eval' command")
	}
	hash := args[0]
	if !isHash {
		var err error
		hash, err = s.load(args[0])
		if err != nil {
			return err
		}
	}
	script := s.scripts[hash]
	if script == nil {
		return errNoScript
	}
	keyCount, err := strconv.Atoi(args[1])
	if err != nil || keyCount < 0 || keyCount > len(args)-2 {
		return errors.New("ERR Number of keys can't be greater than number of args")
	}
	s.scriptRuns++
	return s.runScript(script, args[2:2+keyCount], args[2+keyCount:])
}

// load compiles a script, unless it is cached, and returns its SHA-1.
func (s *Server) load(source string) (hash string, err error) {
	sum := sha1.Sum([]byte(source))
	hash = hex.EncodeToString(sum[:])
	if s.scripts[hash] != nil {
		return hash, nil
	}
	state := lua.NewState()
	defer state.Close()
	function, err := state.LoadString(source)
	if err != nil {
		return "", fmt.Errorf("ERR Error compiling script: %w", err)
	}
	s.scripts[hash] = function.Proto
	return hash, nil
}

// runScript runs a script in a new interpreter.
func (s *Server) runScript(script *lua.FunctionProto, keys, args []string) any {
	state := lua.NewState()
	defer state.Close()
	state.SetGlobal("KEYS", newTable(state, keys))
	state.SetGlobal("ARGV", newTable(state, args))
	library := state.NewTable()
	library.RawSetString("call", state.NewFunction(s.callFromScript))
	state.SetGlobal("redis", library)
	state.Push(state.NewFunctionFromProto(script))
	if err := state.PCall(0, 1, nil); err != nil {
		return fmt.Errorf("ERR Error running script: %s", lineBreaks.Replace(err.Error()))
	}
	return fromLua(state.Get(-1))
}

// callFromScript implements redis.call.
func (s *Server) callFromScript(state *lua.LState) int {
	var command []string
	for i := 1; i <= state.GetTop(); i++ {
		command = append(command, state.CheckString(i))
	}
	reply := s.run(command)
	if err, isError := reply.(error); isError {
		state.RaiseError("%s", err.Error())
	}
	state.Push(toLua(state, reply))
	return 1
}

func newTable(state *lua.LState, items []string) *lua.LTable {
	table := state.NewTable()
	for _, item := range items {
		table.Append(lua.LString(item))
	}
	return table
}

// toLua converts a reply to a Lua value.
func toLua(state *lua.LState, reply any) lua.LValue {
	switch reply := reply.(type) {
	case nil:
		return lua.LFalse
	case int:
		return lua.LNumber(reply)
	case string:
		return lua.LString(reply)
	case status:
		table := state.NewTable()
		table.RawSetString("ok", lua.LString(reply))
		return table
	case []any:
		table := state.NewTable()
		for i, item := range reply {
			table.RawSetInt(i+1, toLua(state, item))
		}
		return table
	}
	panic(fmt.Sprintf("cannot convert a reply of type %T to Lua", reply))
}

// fromLua converts a script's result to a reply.
func fromLua(value lua.LValue) any {
	switch value := value.(type) {
	case lua.LString:
		return string(value)
	case lua.LNumber:
		return int(value) // truncated, as Redis does
	case *lua.LTable:
		items := []any{}
		for i := 1; i <= value.Len(); i++ {
			items = append(items, fromLua(value.RawGetInt(i)))
		}
		return items
	}
	return nil
}
