package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"lockflow/internal/testsupport/testkit"
)

func startWatch(t *testing.T, a *testkit.FakeDiscovery, rev int64, silence time.Duration) (<-chan EndpointList, *Feed) {
	delivered := make(chan EndpointList, 100)
	feed := NewFeed(Source{Address: a.Addr()}, rev, Pacer{}, func(l EndpointList) { delivered <- l })
	feed.silenceTimeout = silence
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); feed.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return delivered, feed
}

const activeEndpointMessage = `{"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","model":"m2","pod_group":3,"state":"up","boot_ms":1700000000000}]}` + "\n"

// After a watch has ended in any way, the next one requests changes from the last applied revision, or the complete list
// if the discovery has restarted its revision count.
func TestWatchResumesFromRevision(t *testing.T) {
	for name, tc := range map[string]struct{ line, from string }{
		"ended":             {"", "from=43"},
		"cut off in a line": {`{"rev":44,"all":fal`, "from=43"},
		"not JSON":          {"<html>\n", "from=43"},
		"no valid entry":    {`{"rev":44,"all":true,"targets":[{"uid":"s-2","state":"up"}]}` + "\n", "from=43"},
		"revision reset":    {`{"rev":3,"targets":[]}` + "\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := testkit.NewFakeDiscovery(t)
			delivered, _ := startWatch(t, a, 41, testkit.WaitTimeout)
			if q := testkit.Next(t, a.Polled); !strings.Contains(q, "watch=1&from=41") {
				t.Errorf("call with query %s, want watch=1&from=41", q)
			}
			a.Lines <- "\n" // a heartbeat
			a.Lines <- activeEndpointMessage
			if l := testkit.Next(t, delivered); l.Revision != 43 || l.IsComplete || l.Endpoints[0].Group != 3 || l.Endpoints[0].StartedAtMS != 1700000000000 {
				t.Errorf("delivered %+v", l)
			}
			a.Lines <- tc.line
			if tc.line != "" {
				a.Lines <- ""
			}
			q := testkit.Next(t, a.Polled)
			if tc.from == "" && strings.Contains(q, "from") || !strings.Contains(q, tc.from) {
				t.Errorf("call with query %s", q)
			}
			a.Lines <- strings.Replace(activeEndpointMessage, "43", "45", 1)
			if l := testkit.Next(t, delivered); l.Revision != 45 {
				t.Errorf("delivered %+v", l)
			}
		})
	}
}

// Revisions may repeat and skip numbers. After a lower revision the complete list is requested, which may have any
// revision. Changes that precede any complete list apply to the known list.
func TestRevisionsOutOfOrder(t *testing.T) {
	a := testkit.NewFakeDiscovery(t)
	delivered, _ := startWatch(t, a, 0, testkit.WaitTimeout)
	if q := testkit.Next(t, a.Polled); strings.Contains(q, "from") {
		t.Errorf("called %s", q)
	}
	for _, message := range []struct {
		rev        int64
		isComplete bool
	}{{5, false}, {5, false}, {9, false}, {9, true}, {9, true}, {11, false}} {
		a.Lines <- fmt.Sprintf(`{"all":%v,"targets":[],"rev":%d}`+"\n", message.isComplete, message.rev)
		if l := testkit.Next(t, delivered); l.Revision != message.rev || l.IsComplete != message.isComplete {
			t.Errorf("delivered %+v, want %+v", l, message)
		}
	}
	a.Lines <- `{"rev":5,"all":false,"targets":[{"uid":"s-1","state":"removed"}]}` + "\n"
	if l := testkit.Next(t, delivered); l.Revision != 5 || len(l.Endpoints) != 1 {
		t.Errorf("delivered %+v", l)
	}
	if q := testkit.Next(t, a.Polled); strings.Contains(q, "from") {
		t.Errorf("called %s", q)
	}
	a.Lines <- `{"rev":2,"all":true,"targets":[]}` + "\n"
	if l := testkit.Next(t, delivered); l.Revision != 2 || !l.IsComplete {
		t.Errorf("delivered %+v", l)
	}
}

// A silent watch is presumed broken and reopened, although its connection is still open.
func TestSilentWatchIsReopened(t *testing.T) {
	a := testkit.NewFakeDiscovery(t)
	startWatch(t, a, 41, 50*time.Millisecond)
	testkit.Next(t, a.Polled)
	if q := testkit.Next(t, a.Polled); !strings.Contains(q, "from=41") {
		t.Errorf("called %s", q)
	}
}

// After a move the complete list of the new discovery is requested immediately, whatever the revision of the old one's
// list, even if the old discovery is unreachable and a retry is being delayed.
func TestWatchFollowsNewSource(t *testing.T) {
	old, other := testkit.NewFakeDiscovery(t), testkit.NewFakeDiscovery(t)
	delivered, feed := startWatch(t, old, 41, testkit.WaitTimeout)
	testkit.Next(t, old.Polled)
	feed.SetSource(Source{Address: other.Addr()})
	if q := testkit.Next(t, other.Polled); strings.Contains(q, "from") {
		t.Errorf("called %s", q)
	}
	other.Lines <- `{"rev":2,"all":true,"targets":[]}` + "\n"
	if l := testkit.Next(t, delivered); l.Revision != 2 || !l.IsComplete {
		t.Errorf("delivered %+v", l)
	}
	feed.SetSource(Source{Address: "127.0.0.1:1"}) // no server listens there
	feed.SetSource(Source{Address: old.Addr()})
	if q := testkit.Next(t, old.Polled); strings.Contains(q, "from") {
		t.Errorf("called %s", q)
	}
}

// An invalid entry doesn't affect other entries, and a draining or removed state is applied even if the rest of its
// entry is invalid.
func TestInvalidEntriesAreIgnored(t *testing.T) {
	a := testkit.NewFakeDiscovery(t)
	delivered, _ := startWatch(t, a, 41, testkit.WaitTimeout)
	testkit.Next(t, a.Polled)
	a.Lines <- `{"rev":44,"targets":[{"endpoint":"127.0.0.1:9","state":"up"},{"uid":"s-2","state":"up"},7,null,` +
		`{"uid":"s-3","endpoint":9,"pod_group":"x","state":"draining"},{"uid":"s-4","state":"removed"},` +
		`{"uid":"s-1","endpoint":"127.0.0.1:9","state":"up","boot_ms":"soon"},{"uid":"s-5","endpoint":"127.0.0.1:9","state":"up"}]}` + "\n"
	l := testkit.Next(t, delivered)
	if l.Revision != 44 || l.Invalid.Count != 5 || len(l.Endpoints) != 3 {
		t.Fatalf("delivered %+v, want revision 44 with 5 invalid entries and 3 endpoints", l)
	}
	for i, want := range []Endpoint{{UID: "s-3", State: "draining"}, {UID: "s-4", State: "removed"}, {UID: "s-5", Address: "127.0.0.1:9", State: "up"}} {
		if l.Endpoints[i] != want {
			t.Errorf("endpoint %+v, want %+v", l.Endpoints[i], want)
		}
	}
}

// After changes of a lower revision, from a discovery that has restarted its count or sends out of order, the complete
// list is requested. Its answer may take some seconds, so draining states in those changes are delivered immediately.
func TestDrainingOfOlderRevisionIsApplied(t *testing.T) {
	a := testkit.NewFakeDiscovery(t)
	delivered, _ := startWatch(t, a, 41, testkit.WaitTimeout)
	testkit.Next(t, a.Polled)
	a.Lines <- activeEndpointMessage
	testkit.Next(t, delivered)
	a.Lines <- `{"rev":42,"targets":[{"uid":"s-2","endpoint":"127.0.0.1:9","state":"up"},{"uid":"s-1","state":"draining"},{"uid":"s-3","state":"removed"}]}` + "\n"
	l := testkit.Next(t, delivered)
	if l.IsComplete || len(l.Endpoints) != 2 || l.Endpoints[0].UID != "s-1" || l.Endpoints[1].UID != "s-3" {
		t.Errorf("delivered %+v", l)
	}
	a.Lines <- ""
	if q := testkit.Next(t, a.Polled); strings.Contains(q, "from") {
		t.Errorf("called %s", q)
	}
}

// A complete list with a lower revision than an earlier message of the same watch adds no servers that are up, because
// one that has started to drain since would get requests again. As the first message of a watch, it comes from a
// discovery that has restarted its count, and is applied.
func TestCompleteListOutOfOrder(t *testing.T) {
	a := testkit.NewFakeDiscovery(t)
	delivered, _ := startWatch(t, a, 41, testkit.WaitTimeout)
	testkit.Next(t, a.Polled)
	const older = `{"rev":7,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","state":"up"}]}` + "\n"
	a.Lines <- older
	if l := testkit.Next(t, delivered); l.Revision != 7 || !l.IsComplete {
		t.Errorf("delivered %+v", l)
	}
	a.Lines <- `{"rev":8,"targets":[{"uid":"s-1","state":"draining"}]}` + "\n"
	testkit.Next(t, delivered)
	a.Lines <- older
	a.Lines <- ""
	if q := testkit.Next(t, a.Polled); strings.Contains(q, "from") {
		t.Errorf("called %s", q)
	}
	a.Lines <- `{"rev":8,"all":true,"targets":[]}` + "\n"
	if l := testkit.Next(t, delivered); l.Revision != 8 || !l.IsComplete {
		t.Errorf("delivered %+v", l)
	}
}

// A message may be indented over many lines, with empty lines between messages. A message that is too long ends the
// watch.
func TestIndentedMessagesAreRead(t *testing.T) {
	var line, indented bytes.Buffer
	line.WriteString(activeEndpointMessage)
	if err := json.Indent(&indented, line.Bytes(), "", "  "); err != nil {
		t.Fatal(err)
	}
	a := testkit.NewFakeDiscovery(t)
	delivered, _ := startWatch(t, a, 41, testkit.WaitTimeout)
	testkit.Next(t, a.Polled)
	for i := range 3 {
		a.Lines <- strings.Replace(indented.String(), "43", strconv.Itoa(43+i), 1) + "\n\n"
		if l := testkit.Next(t, delivered); l.Revision != int64(43+i) || len(l.Endpoints) != 1 || l.Invalid.Count > 0 {
			t.Errorf("delivered %+v", l)
		}
	}
	a.Lines <- `{"rev":46,"targets":[` + strings.Repeat(" ", maxMessageBytes+64<<10)
	if q := testkit.Next(t, a.Polled); !strings.Contains(q, "from=45") {
		t.Errorf("called %s", q)
	}
}

// A silent watch is reopened after the silence timeout and the shortest retry delay, which leaves time to deliver missed
// changes by the 6 s deadline.
func TestSilenceTimeoutLeavesTimeForRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clientConn, serverConn := net.Pipe()
		callTimes := make(chan time.Duration, 10)
		startedAt := time.Now()
		w := newWatcher("agent", 41, watchSilenceTimeout, &Pacer{}, func(EndpointList) {})
		w.client.Transport = &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
			callTimes <- time.Since(startedAt)
			if len(callTimes) > 1 {
				return nil, errors.New("no server")
			}
			go func() {
				http.ReadRequest(bufio.NewReader(serverConn))
				io.WriteString(serverConn, "HTTP/1.1 200 OK\r\n\r\n\n") // a heartbeat followed by silence
			}()
			return clientConn, nil
		}}
		ctx, cancel := context.WithCancel(t.Context())
		go w.run(ctx, 0)
		time.Sleep(6 * time.Second)
		cancel()
		synctest.Wait()
		serverConn.Close()
		<-callTimes
		if at := <-callTimes; at != watchSilenceTimeout+minRetryDelay {
			t.Errorf("watch reopened after %v", at)
		}
	})
}

func FuzzEndpointList(f *testing.F) {
	f.Add([]byte(activeEndpointMessage))
	f.Add([]byte(`{"rev":1,"all":true,"targets":[null,{"uid":"a","state":"gone"},{"uid":"b","endpoint":"x:1","state":"up"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var l EndpointList
		if json.Unmarshal(raw, &l) != nil {
			return
		}
		for i := range l.Endpoints {
			if err := l.Endpoints[i].validate(); err != nil {
				t.Errorf("%q: %v", raw, err)
			}
		}
	})
}

// bodyTransport is a transport that answers every call with the body that the function returns.
type bodyTransport func() io.Reader

func (a bodyTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(a())}, nil
}

// A watch delivers the same messages wherever the network splits its data: in a character, in a number, or between CR
// and LF.
func TestWatchReadsMessagesSplitAtAnyByte(t *testing.T) {
	const text = "\r\n\n" + `{"rev":43,"all":true,"more":{"x":[1,2]},"targets":[` + "\r\n" + `  {"uid":"s-é","endpoint":"127.0.0.1:9","az":"Zürich","model":"\u00fc}","pod_group":31,"state":"up","boot_ms":1.7e12}]}` +
		"\n \r\n" + `{"rev":44,"targets":[{"uid":"s-é","state":"draining"}]}{"rev":45,"targets":[]}` + "\r\n"
	want := []EndpointList{
		{Revision: 43, IsComplete: true, Endpoints: []Endpoint{{UID: "s-é", Address: "127.0.0.1:9", Zone: "Zürich", Model: "ü}", Group: 31, State: "up", StartedAtMS: 1.7e12}}},
		{Revision: 44, Endpoints: []Endpoint{{UID: "s-é", State: "draining"}}},
		{Revision: 45},
	}
	bodies := map[string]func() io.Reader{"bytes": func() io.Reader { return iotest.OneByteReader(strings.NewReader(text)) }}
	for i := range text {
		bodies[strconv.Itoa(i)] = func() io.Reader { return io.MultiReader(strings.NewReader(text[:i]), strings.NewReader(text[i:])) }
	}
	for name, body := range bodies {
		var delivered []EndpointList
		w := newWatcher("a:1", 41, testkit.WaitTimeout, &Pacer{}, func(l EndpointList) { delivered = append(delivered, l) })
		w.client.Transport = bodyTransport(body)
		if hasData, err := w.watch(t.Context()); !hasData || err != nil || w.revision != 45 || !reflect.DeepEqual(delivered, want) {
			t.Errorf("split at %s: hasData %v, error %v, delivered %+v", name, hasData, err, delivered)
		}
	}
}
