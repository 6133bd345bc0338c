package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lockflow/control"
	"lockflow/internal/limits"
	"lockflow/internal/testsupport/testkit"
)

// countedMemory is an InputMemory that counts what is reserved.
type countedMemory struct {
	*limits.ByteLimiter
	reserved atomic.Int64
}

func newCountedMemory(limit int64) *countedMemory {
	return &countedMemory{ByteLimiter: limits.NewByteLimiter(limit)}
}

func (m *countedMemory) TryAcquire(bytes int64) bool {
	if !m.ByteLimiter.TryAcquire(bytes) {
		return false
	}
	m.reserved.Add(bytes)
	return true
}

func (m *countedMemory) Release(bytes int64) {
	m.reserved.Add(-bytes)
	m.ByteLimiter.Release(bytes)
}

// manyFields returns header fields with different names.
func manyFields(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "f%d:\r\n", i)
	}
	return b.String()
}

// startLimitedFront runs a front with a limit on its input memory and returns a function that connects a client to it.
func startLimitedFront(t *testing.T, module scriptedModule, memory InputMemory) (connect func() net.Conn, f *Front) {
	t.Helper()
	listener, f, _, stop := startFront(t, module, nil, nil)
	t.Cleanup(stop)
	f.LimitInput(memory)
	accepted := &pipeListener{conns: make(chan net.Conn, 1)} // its connections are wrapped before they are served
	wrapping := LingeringListener(ValidatingListener(accepted))
	return func() net.Conn {
		client, server := net.Pipe()
		accepted.conns <- server
		conn, err := wrapping.Accept()
		if err != nil {
			t.Fatal(err)
		}
		listener.conns <- conn
		return client
	}, f
}

const postLine = "POST /write?account=0000000000000001 HTTP/1.1\r\n"

// Guards against heads of short fields, which take many times the memory of their bytes: they get 431, whether they are
// complete, without an end, or in the bytes that are read with the request before. They end in a close, so that the memory
// is free.
func TestHeadOfManyFieldsIsRefused(t *testing.T) {
	complete := postLine + requestHeaders + "Content-Length: 0\r\n"
	for name, text := range map[string]string{
		"complete":       complete + manyFields(maxHeadFields) + "\r\n",
		"without an end": complete + manyFields(2000),
		"half a request": postLine + requestHeaders + "Content-Length: 9\r\n" + manyFields(2000) + "\r\n",
		"pipelined":      complete + "\r\n" + complete + manyFields(maxHeadFields) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := newCountedMemory(1 << 20)
				connect, f := startLimitedFront(t, rejectRequest, memory)
				client := connect()
				defer client.Close()
				startedAt := time.Now()
				go io.WriteString(client, text)
				statuses := readStatuses(client)
				if len(statuses) == 0 || statuses[len(statuses)-1] != http.StatusRequestHeaderFieldsTooLarge {
					t.Errorf("statuses %v, want the last to be 431", statuses)
				}
				if took := time.Since(startedAt); took > partialRequestTimeLimit {
					t.Errorf("the connection was closed after %v", took)
				}
				client.Close()
				f.CloseWhenIdle()
				f.WaitDisconnected(t.Context())
				if left := memory.reserved.Load(); left != 0 {
					t.Errorf("%d bytes are still reserved", left)
				}
			})
		})
	}
}

// readStatuses reads answers until the connection ends and returns their statuses.
func readStatuses(conn net.Conn) (statuses []int) {
	in := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
	}
}

// Guards against incomplete requests that use up the memory of the process together: once they have used up what there is
// for them, a further large one gets a 503 that is safe to retry, while small requests are served as before.
func TestInputMemoryIsSharedByIncompleteRequests(t *testing.T) {
	long := "X-Long: " + strings.Repeat("v", 8<<10) + "\r\n"
	for name, text := range map[string]string{
		"heads of fields":    postLine + requestHeaders + manyFields(maxHeadFields-10),
		"heads of long text": postLine + requestHeaders + long,
		"bodies":             postLine + requestHeaders + "Content-Length: 65536\r\n\r\n" + strings.Repeat("b", 20<<10),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 256 << 10
				memory := newCountedMemory(limit)
				connect, f := startLimitedFront(t, rejectRequest, memory)
				var clients []net.Conn
				refused := 0
				for range 40 {
					client := connect()
					clients = append(clients, client)
					go io.WriteString(client, text)
					synctest.Wait()
					client.SetReadDeadline(time.Now().Add(time.Millisecond))
					resp, err := http.ReadResponse(bufio.NewReader(client), nil)
					if err != nil {
						continue
					}
					refused++
					if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close || resp.Header.Get("Retry-After") == "" {
						t.Fatalf("got %s, close %v, Retry-After %q, want 503 and a close", resp.Status, resp.Close, resp.Header.Get("Retry-After"))
					}
				}
				if refused == 0 || refused == len(clients) {
					t.Errorf("%d of %d requests were refused, want some", refused, len(clients))
				}
				if reserved := memory.reserved.Load(); reserved > limit || reserved < limit/2 {
					t.Errorf("%d bytes are reserved, want most of %d", reserved, limit)
				}
				small := connect()
				defer small.Close()
				go io.WriteString(small, completeRequest)
				resp, err := http.ReadResponse(bufio.NewReader(small), nil)
				if err != nil || resp.Header.Get("Retry-After") == "" || resp.Close {
					t.Errorf("small request: %v, error %v, want the answer of the module", resp, err)
				}
				time.Sleep(partialRequestTimeLimit)
				for _, client := range clients {
					client.Close()
				}
				small.Close()
				f.CloseWhenIdle()
				f.WaitDisconnected(t.Context())
				if left := memory.reserved.Load(); left != 0 {
					t.Errorf("%d bytes are still reserved", left)
				}
			})
		})
	}
}

// The memory of a request passes from the input memory to the request's own reservation, and back to neither.
func TestMemoryOfHeadPassesToAdmittedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newCountedMemory(1 << 20)
		connect, f := startLimitedFront(t, keepQueued, memory)
		client := connect()
		go io.WriteString(client, postLine+requestHeaders+"Content-Length: 6\r\n"+manyFields(200)+"\r\nupdate")
		synctest.Wait()
		if reserved := memory.reserved.Load(); reserved != 0 {
			t.Errorf("%d bytes are reserved for a request that is admitted, want 0", reserved)
		}
		client.Close()
		f.CloseWhenIdle()
		f.WaitDisconnected(t.Context())
	})
}

// Guards against a loss by eviction: a request that has been read but not begun is not closed, however long ago its first
// byte was read. A client that has sent only a part of it is.
func TestEvictSparesRequestThatHasBeenRead(t *testing.T) {
	for name, tc := range map[string]struct {
		text      string
		isEvicted bool
	}{
		"complete": {completeRequest, false},
		"half":     {completeRequest[:len(completeRequest)-4], true},
	} {
		t.Run(name, func(t *testing.T) {
			_, f, _, stop := startFront(t, rejectRequest, nil, nil)
			defer stop()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			client := dialTCP(t, listener.Addr().String())
			conn, err := LingeringListener(ValidatingListener(listener)).Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			f.clients.register(t.Context(), conn)
			io.WriteString(client, tc.text)
			if _, err := io.ReadFull(conn, make([]byte, len(tc.text))); err != nil {
				t.Fatal(err)
			}
			past := time.Now().Add(-time.Minute)
			setOnlyConnection(f, true, past)
			findWrappedConn[*inputConn](conn).firstReadAt = past
			if isEvicted := f.Evict(); isEvicted != tc.isEvicted {
				t.Errorf("Evict returned %v, want %v", isEvicted, tc.isEvicted)
			}
		})
	}
}

// Guards against clients that stop in the middle of a body and occupy the connections that others wait for: such a
// connection is evicted after the grace period, and its request is not forwarded. One whose body has arrived is not evicted.
func TestEvictClosesConnectionThatWaitsForBody(t *testing.T) {
	for name, tc := range map[string]struct {
		body      string
		isEvicted bool
	}{"half": {"half", true}, "complete": {"complete!", false}} {
		t.Run(name, func(t *testing.T) {
			received := make(chan control.Request, 1)
			_, f, _, stop := startFront(t, func(r control.Request) []control.Action { received <- r; return nil }, nil, nil)
			defer stop()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := f.Server()
			go server.Serve(LingeringListener(ValidatingListener(listener)))
			defer server.Close()
			client := dialTCP(t, listener.Addr().String())
			io.WriteString(client, postLine+requestHeaders+"Content-Length: 9\r\n\r\n"+tc.body)
			if !tc.isEvicted {
				testkit.Next(t, received)
				if f.Evict() {
					t.Error("the connection was evicted")
				}
				return
			}
			testkit.Until(t, "the eviction", f.Evict)
			if _, err := io.ReadAll(client); err != nil {
				t.Errorf("reading: %v", err)
			}
			f.WaitDisconnected(t.Context())
			if len(received) > 0 {
				t.Error("the request reached the service")
			}
		})
	}
}

// Guards against requests that stay in memory after their answers: net/http reads the rest of a body once the handler has
// returned, and starts a goroutine that holds the request at its end.
func TestUnreadBodyIsDiscardedBeforeHandlerReturns(t *testing.T) {
	_, f, _, stop := startFront(t, rejectRequest, fullLimiter{}, nil)
	defer stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leftover := make(chan error, 1)
	server := f.Server()
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.ServeHTTP(w, r)
		n, err := r.Body.Read(make([]byte, 1))
		leftover <- fmt.Errorf("%d bytes: %w", n, err)
	})
	go server.Serve(LingeringListener(ValidatingListener(listener)))
	defer server.Close()
	client := dialTCP(t, listener.Addr().String())
	io.WriteString(client, postLine+requestHeaders+"Content-Length: 6\r\n\r\nupdate")
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Fatalf("answer %v, error %v; want 503 and a close", resp, err)
	}
	if err := testkit.Next(t, leftover); err.Error() != "0 bytes: EOF" {
		t.Errorf("reading the body after the handler: %v, want its end", err)
	}
}
