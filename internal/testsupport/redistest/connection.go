package redistest

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"time"
)

// Error replies to a wrong AUTH and to commands without authentication, as Redis sends them.
var (
	errWrongPassword = errors.New("WRONGPASS invalid username-password pair or user is disabled.") //nolint:revive,staticcheck // the text that Redis sends
	errNoAuth        = errors.New("NOAUTH Authentication required.")                               //nolint:revive,staticcheck // the text that Redis sends
)

// serve runs the commands of one connection.
func (s *Server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	isAuthenticated := false
	for {
		args, err := readCommand(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		faults := s.faults
		password := s.password
		s.mu.Unlock()
		if faults.IsSilent {
			continue
		}
		time.Sleep(faults.Delay)
		var reply any
		switch {
		case faults.Error != "":
			reply = errors.New(faults.Error)
		case strings.EqualFold(args[0], "AUTH"):
			isAuthenticated = args[len(args)-1] == password
			reply = authReply(isAuthenticated)
		case password != "" && !isAuthenticated:
			reply = errNoAuth
		default:
			reply = s.Do(args...)
		}
		if _, err := conn.Write(appendReply(nil, reply)); err != nil {
			return
		}
	}
}

func authReply(isAuthenticated bool) any {
	if isAuthenticated {
		return status("OK")
	}
	return errWrongPassword
}
