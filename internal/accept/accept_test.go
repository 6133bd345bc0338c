package accept

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedListener is a listener whose Accept returns the given errors in turn, and the last one repeatedly until it is
// closed. A nil error stands for a connection.
type scriptedListener struct {
	net.Listener
	mu     sync.Mutex
	errs   []error
	calls  []time.Time
	closed bool
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, time.Now())
	if l.closed {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	if len(l.errs) > 1 {
		l.errs = l.errs[1:]
	}
	if err == nil {
		conn, other := net.Pipe()
		return conn, other.Close()
	}
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

func (l *scriptedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return nil
}

func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

// countFailures returns the number of failures of the listeners with purpose Metrics so far, by error name.
func countFailures() map[string]uint64 {
	counts := make(map[string]uint64)
	EachFailure(func(purpose Purpose, errno string, count uint64) {
		if purpose == Metrics {
			counts[errno] = count
		}
	})
	return counts
}

func TestAcceptRetriesAfterErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errs := []error{syscall.ENETDOWN, syscall.ETIMEDOUT, syscall.ENOBUFS, errors.New("not a system error"), nil}
		inner := &scriptedListener{errs: errs}
		before := countFailures()
		conn, err := NewRetryingListener(inner, Metrics).Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		if elapsed := inner.calls[4].Sub(inner.calls[0]); elapsed != 15*minBackoff {
			t.Errorf("four failed calls took %v", elapsed)
		}
		for _, errno := range []string{"ENETDOWN", "ETIMEDOUT", "ENOBUFS", "other"} {
			if n := countFailures()[errno] - before[errno]; n != 1 {
				t.Errorf("%s was counted %d times, want once", errno, n)
			}
		}
	})
}

func TestBackoffIsBoundedAndEndsOnClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &scriptedListener{errs: []error{syscall.EMFILE}}
		l := NewRetryingListener(inner, Clients)
		ended := make(chan error)
		go func() {
			_, err := l.Accept()
			ended <- err
		}()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		n := len(inner.calls)
		if last := inner.calls[n-1].Sub(inner.calls[n-2]); last != maxBackoff {
			t.Errorf("got a backoff of %v, want maxBackoff", last)
		}
		closedAt := time.Now()
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) || time.Since(closedAt) != 0 {
			t.Errorf("got error %v %v after Close, want net.ErrClosed at once", err, time.Since(closedAt))
		}
	})
}

func TestAcceptReturnsListenerDeadlineError(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewRetryingListener(socket, Clients)
	defer l.Close()
	socket.(*net.TCPListener).SetDeadline(time.Now())
	if _, err := l.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
}
