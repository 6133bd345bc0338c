package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lockflow/control"
)

// watchSilenceTimeout is the time without data or heartbeat after which a watch is presumed broken. It is one and a half
// times the heartbeat interval, and longer than maxAnswerTime.
const watchSilenceTimeout = 3 * time.Second

// Errors of a call to a discovery that determine the delay of the next call.
var (
	errSilent   = errors.New("no data or heartbeat within the silence timeout")
	errRejected = errors.New("discovery rejected the call")
)

// watcher watches the endpoint list of the discovery at one address, and opens a new watch whenever one ends. It is not
// safe for concurrent use.
type watcher struct {
	client         *http.Client
	url            string
	revision       int64 // of the last applied message; 0 requests a complete list
	silenceTimeout time.Duration
	pacer          *Pacer
	deliver        func(EndpointList)
	lastReceived   time.Time // arrival of the last message or heartbeat
}

func newWatcher(
	address string, revision int64, silenceTimeout time.Duration, pacer *Pacer, deliver func(EndpointList),
) *watcher {
	return &watcher{
		client: &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: silenceTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
		url:            "http://" + address + "/v1/servers?watch=1",
		revision:       revision,
		silenceTimeout: silenceTimeout,
		pacer:          pacer,
		deliver:        deliver,
		lastReceived:   time.Now(),
	}
}

// run waits for the first delay and then keeps a watch open until ctx ends.
func (w *watcher) run(ctx context.Context, delay time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		startedAt := time.Now()
		hasData, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		nextDelay := w.pacer.RetryDelay
		if errors.Is(err, errRejected) {
			nextDelay = w.pacer.RejectionDelay
		}
		delay = nextDelay(time.Since(startedAt), time.Since(w.lastReceived))
		if hasData {
			slog.Warn("discovery watch ended", "rev", w.revision, "err", err)
		} else {
			slog.Debug("discovery watch not established", "in", delay, "err", err)
		}
	}
}

// watch opens one watch and reads it until it ends. hasData reports whether any byte of the response body arrived.
func (w *watcher) watch(ctx context.Context) (hasData bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The timer ends a call whose connection is never established, and a watch that falls silent: a heartbeat is due
	// every 2 s.
	silenceTimer := time.AfterFunc(w.silenceTimeout, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	response, err := w.call(ctx)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	silenceTimer.Reset(w.silenceTimeout)
	stream := newWatchStream(w, response.Body, silenceTimer)
	err = stream.readMessages()
	return stream.hasData, err
}

// call requests a watch from the last applied revision on.
func (w *watcher) call(ctx context.Context) (*http.Response, error) {
	url := w.url
	if w.revision > 0 {
		url += "&from=" + strconv.FormatInt(w.revision, 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, classifyCallError(err)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("%w: %s", errRejected, response.Status)
	}
	return response, nil
}

// classifyCallError classifies the error of a call without a response. A dial error, the dialer's own timeout included,
// means that the discovery was not reached. Any other error, except that of the silence timer, means that the discovery
// was reached and ended the call, and is wrapped as a rejection.
func classifyCallError(err error) error {
	opError, ok := errors.AsType[*net.OpError](err)
	isDial := ok && opError.Op == "dial"
	switch {
	case isDial && opError.Timeout():
		return errSilent
	case isDial || errors.Is(err, errSilent):
		return err
	}
	return fmt.Errorf("%w: %w", errRejected, err)
}

// apply delivers one message of a watch. After an error the watch has to be reopened, either from the last applied
// revision or, if revision is 0, for a complete list.
func (w *watcher) apply(list EndpointList, isFirst bool) error {
	if list.Revision < w.revision && !(list.IsComplete && isFirst) {
		return w.applyOlder(list)
	}
	w.revision = list.Revision
	w.deliver(list)
	return nil
}

// applyOlder handles a message with a lower revision than the last applied one. Either the discovery has restarted its
// revision count, so that its changes don't apply to the known list, or the message is out of order and its servers may
// have started to drain since. In either case it is safe to deliver the servers that are not up; for the others a
// complete list is requested.
func (w *watcher) applyOlder(list EndpointList) error {
	w.revision = 0
	list.IsComplete = false
	list.Endpoints = slices.DeleteFunc(list.Endpoints, func(e Endpoint) bool { return e.EndpointState() == control.Active })
	if len(list.Endpoints) > 0 {
		w.deliver(list)
	}
	return fmt.Errorf("discovery: revision decreased to %d", list.Revision)
}
