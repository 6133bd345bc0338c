package fake

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// latencySmoothing is the weight of the latest request in the exponential moving average of the reported latency.
const latencySmoothing = 0.2

// admission is a server's decision on a received request.
type admission int

const (
	isAdmitted admission = iota
	isRejected
	isDropped // the server has collapsed
)

// ServeHTTP serves a request of the platform's protocol. A request is executed even if its client has disconnected.
func (r *Running) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Correlation-Id")
	key := request.Header.Get("Idempotency-Key")
	if id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	units := unitsOf(request)
	end, release, ok := r.beginRequest(id, request.ProtoMajor)
	if !ok {
		closeConn(w)
		return
	}
	defer release()
	r.HardLimit.record(request.URL.Query().Get("account"), units)
	decision, stalled := r.admit(units)
	switch decision {
	case isDropped:
		end()
		closeConn(w)
		return
	case isRejected:
		r.Executions.reject()
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	hasEffect := r.Group.isFirst(key)
	draw := r.work(units, stalled)
	r.Executions.execute(id, key, hasEffect, units)
	if r.Faults.answer(w, draw, end) {
		return
	}
	r.answer(w, request, id, units)
}

// beginRequest records a request in flight; ok is false if the server is closed. end records that the request is no
// longer in flight. It must be called before the client can observe the end, since the client may then retry the
// request. release calls end and removes the request from the server's list.
func (r *Running) beginRequest(id string, httpVersion int) (end, release func(), ok bool) {
	end = sync.OnceFunc(func() { r.Executions.end(id) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return nil, nil, false
	}
	r.requestsByVersion[min(max(httpVersion, 0), maxHTTPVersion)]++
	r.Executions.begin(id)
	r.requestCount++
	number := r.requestCount
	if r.endRequests == nil {
		r.endRequests = make(map[int]func())
	}
	r.endRequests[number] = end
	release = func() {
		r.mu.Lock()
		delete(r.endRequests, number)
		r.mu.Unlock()
		end()
	}
	return end, release, true
}

// admit decides on a request. An admitted request has to wait until stalled is closed; nil means no wait.
func (r *Running) admit(units float64) (decision admission, stalled chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recordLoad(time.Now(), units) {
		return isDropped, nil
	}
	if !r.drainDeadline.IsZero() && time.Now().After(r.drainDeadline) {
		r.lateRequests++
	}
	if r.Queue > 0 && r.queueLength >= r.Queue || r.rng.Float64() < r.Faults.Reject {
		return isRejected, nil
	}
	r.queueLength++
	return isAdmitted, r.stalled
}

// work waits for a free core and occupies it for the request's duration. It returns the random number that selects the
// request's fault.
func (r *Running) work(units float64, stalled chan struct{}) float64 {
	if stalled != nil {
		<-stalled
	}
	if r.cores != nil {
		r.cores <- struct{}{}
		defer func() { <-r.cores }()
	}
	r.mu.Lock()
	r.queueLength--
	r.executing++
	duration := time.Duration(float64(r.Work) * units / r.speed(time.Now()))
	draw := r.rng.Float64()
	r.latencyMS += latencySmoothing * (float64(duration)/float64(time.Millisecond) - r.latencyMS)
	r.mu.Unlock()
	if duration > 0 {
		time.Sleep(duration)
	}
	r.mu.Lock()
	r.executing--
	r.mu.Unlock()
	return draw
}

// answer answers with the fault that draw selects, if any. end is called before the connection is closed.
func (f *Faults) answer(w http.ResponseWriter, draw float64, end func()) (isFaulty bool) {
	switch {
	case draw < f.Error:
		w.WriteHeader(http.StatusInternalServerError)
	case draw < f.Error+f.Reset:
		end()
		closeConn(w)
	case draw < f.Error+f.Reset+f.Corrupt:
		answerCorrupt(w)
	default:
		return false
	}
	return true
}

// answerCorrupt sends a header that cannot be parsed and leaves the connection open until the client closes it.
func answerCorrupt(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\nnoise")
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	}()
}

// answer answers a request with a load report and the customer's usage.
func (r *Running) answer(w http.ResponseWriter, request *http.Request, id string, units float64) {
	header := w.Header()
	r.mu.Lock()
	header.Set("X-Backend-Load", fmt.Sprintf("inflight=%d,latency_ms=%.3f,util=%.2f,queue=%d", r.queueLength+r.executing, r.latencyMS,
		float64(r.executing)/float64(max(r.Cores, 1)), r.queueLength))
	r.mu.Unlock()
	if r.Meter != nil {
		if used := r.Meter.Use(request.URL.Query().Get("account"), units); used >= 0 {
			header.Set("X-Allowance-Used", strconv.Itoa(used))
		}
		header.Set("X-True-Cost", strconv.FormatFloat(units, 'f', -1, 64))
	}
	fmt.Fprintf(w, "%s %s", r.UID, id)
}

// closeConn closes a request's connection, or resets its HTTP/2 stream, without an answer.
func closeConn(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		conn.Close()
	}
}

// unitsOf returns the units in the request's X-Weight header, or 1 if there are none.
func unitsOf(request *http.Request) float64 {
	for pair := range strings.SplitSeq(request.Header.Get("X-Weight"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(pair), "units=")
		if !ok {
			continue
		}
		if units, err := strconv.ParseFloat(value, 64); err == nil && units > 0 {
			return units
		}
	}
	return 1
}
