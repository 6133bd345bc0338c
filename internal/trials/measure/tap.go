package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"lockflow/internal/desiredstate"
	"lockflow/internal/manage"
	"lockflow/internal/trials/faultnet/history"
)

// controlCapture is a proxy between coordinators and the control sockets of members. It records requests and replies in
// a history.
type controlCapture struct {
	history history.History
	members int

	mu            sync.Mutex
	claims        int
	completed     int
	restarts      int
	owned         int
	clientNumbers map[string]int // numbers of owners as clients of the history
	claimAttempts map[history.Acquire]*claimAttempt
}

// claimAttempt is a coordinator's attempt to own an epoch.
type claimAttempt struct {
	granted map[string]bool
	finish  func(any)
}

func newControlCapture(members int) *controlCapture {
	return &controlCapture{members: members, clientNumbers: make(map[string]int), claimAttempts: make(map[history.Acquire]*claimAttempt)}
}

// open listens on the socket at path, and forwards its requests to a member's socket at to.
func (t *controlCapture) open(name, path, to string) (stop func(), err error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, fmt.Errorf("listening on the capture socket: %w", err)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", to)
	}}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.forward(w, r, name, transport) })}
	go s.Serve(l) //nolint:errcheck // ends with its listener
	return func() { s.Close() }, nil
}

// forward forwards a request to a member, and records the request and its reply.
func (t *controlCapture) forward(w http.ResponseWriter, r *http.Request, name string, transport *http.Transport) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is incomplete and is not forwarded
	}
	recordReply := t.recordRequest(r.URL.Path, name, raw)
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://daemon"+r.URL.Path, bytes.NewReader(raw))
	var resp *http.Response
	if err == nil {
		resp, err = transport.RoundTrip(req)
	}
	var answer []byte
	if err == nil {
		defer resp.Body.Close()
		answer, err = io.ReadAll(resp.Body)
	}
	if err != nil { // breaks the client's connection, as the member's connection broke
		panic(http.ErrAbortHandler)
	}
	recordReply(resp.StatusCode, answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(resp.StatusCode)
	w.Write(answer)
}

// recordRequest records a request in the history. The returned function records its reply.
func (t *controlCapture) recordRequest(path, member string, raw []byte) func(status int, answer []byte) {
	code := func(answer []byte) desiredstate.Code {
		var f struct {
			Code desiredstate.Code `json:"code"`
		}
		_ = json.Unmarshal(answer, &f) // the reply may have no code
		return f.Code
	}
	switch path {
	case "/v1/claim":
		var c manage.Claim
		_ = json.Unmarshal(raw, &c) // the member rejects a malformed claim
		t.recordClaim(c)
		done := t.history.Call(t.clientNumber(c.Owner), history.Claim{Member: member, Epoch: c.Epoch, Owner: c.Owner})
		return func(status int, answer []byte) {
			switch {
			case status == http.StatusOK:
				done(history.Granted)
				t.granted(c, member)
			case code(answer) == desiredstate.CodeStale:
				done(history.Refused)
			default:
				done(history.Nothing)
			}
		}
	case "/v1/order":
		var o manage.Command
		_ = json.Unmarshal(raw, &o) // the member rejects a malformed command
		done := t.history.Call(t.clientNumber(o.Owner), history.Order{Member: member, Epoch: o.Epoch, Owner: o.Owner, ID: o.ID})
		return func(status int, answer []byte) {
			switch c := code(answer); {
			case status == http.StatusOK || c == desiredstate.CodeFailed:
				done(history.DoneOrAlreadyDone)
				t.mu.Lock()
				defer t.mu.Unlock()
				t.completed++
				if o.Operation.Kind == desiredstate.KindRestart {
					t.restarts++
				}
			case c == desiredstate.CodeStale:
				done(history.Stale)
			default:
				done(history.Nothing)
			}
		}
	case "/v1/status":
		done := t.history.Call(0, history.ReadStatus{Member: member})
		return func(status int, answer []byte) {
			var s manage.Status
			if json.Unmarshal(answer, &s) == nil && status == http.StatusOK {
				done(history.MemberState{Epoch: s.Epoch, Owner: s.Owner})
			}
		}
	}
	return func(int, []byte) {}
}

// clientNumber returns the client number of an owner in the history, which starts at 1. Status reads use 0.
func (t *controlCapture) clientNumber(owner string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clientNumbers[owner] == 0 {
		t.clientNumbers[owner] = len(t.clientNumbers) + 1
	}
	return t.clientNumbers[owner]
}

// recordClaim counts a claim, and records the start of the coordinator's attempt with its first claim of an epoch.
func (t *controlCapture) recordClaim(c manage.Claim) {
	n := t.clientNumber(c.Owner)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claims++
	a := history.Acquire{Epoch: c.Epoch, Owner: c.Owner}
	if t.claimAttempts[a] == nil {
		t.claimAttempts[a] = &claimAttempt{granted: make(map[string]bool), finish: t.history.Call(n, a)}
	}
}

// granted records that a member granted a claim. The epoch is owned once more than half of the members have granted it.
func (t *controlCapture) granted(c manage.Claim, member string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.claimAttempts[history.Acquire{Epoch: c.Epoch, Owner: c.Owner}]
	if a.granted[member] {
		return
	}
	a.granted[member] = true
	if n := len(a.granted); 2*n > t.members && 2*(n-1) <= t.members {
		t.owned++
		a.finish(history.Granted)
	}
}
