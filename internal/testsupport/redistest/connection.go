package redistest

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"time"
)

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
