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
