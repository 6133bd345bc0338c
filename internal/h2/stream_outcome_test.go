package h2

import (
	"io"
	"strings"
	"testing"

	"golang.org/x/net/http2"
)

// TestOutcomeOf checks the table in docs/http2.md: the outcome of a request by how much of it was sent and why its stream ended.
func TestOutcomeOf(t *testing.T) {
	notProcessed, rejected, mayBeProcessed := NotProcessed, Rejected, MayBeProcessed
	for _, tc := range []struct {
		end  End
		code http2.ErrCode
		want [2][4]StreamOutcome // first index: servers start at the head, at the last byte; second index: Moment
	}{
		{EndBroken, http2.ErrCodeNo, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndBroken, http2.ErrCodeRefusedStream, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndReset, http2.ErrCodeRefusedStream, [2][4]StreamOutcome{{notProcessed, rejected, rejected, mayBeProcessed}, {notProcessed, rejected, rejected, mayBeProcessed}}},
		{EndReset, http2.ErrCodeNo, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndReset, http2.ErrCodeInternal, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndReset, http2.ErrCodeCancel, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndReset, http2.ErrCodeEnhanceYourCalm, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndGoAway, http2.ErrCodeNo, [2][4]StreamOutcome{{notProcessed, rejected, rejected, mayBeProcessed}, {notProcessed, rejected, rejected, mayBeProcessed}}},
		{EndGoAway, http2.ErrCodeInternal, [2][4]StreamOutcome{{notProcessed, rejected, rejected, mayBeProcessed}, {notProcessed, rejected, rejected, mayBeProcessed}}},
		{EndCancelled, http2.ErrCodeCancel, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
		{EndMalformed, http2.ErrCodeProtocol, [2][4]StreamOutcome{{notProcessed, mayBeProcessed, mayBeProcessed, mayBeProcessed}, {notProcessed, notProcessed, mayBeProcessed, mayBeProcessed}}},
	} {
		for atLastByte, wantByProgress := range tc.want {
			for progress, want := range wantByProgress {
				if got := OutcomeOf(Moment(progress), tc.end, tc.code, atLastByte == 1); got != want {
					t.Errorf("%v, %v, %v, starts at last byte %d: %v, want %v", Moment(progress), tc.end, tc.code, atLastByte, got, want)
				}
			}
		}
	}
}

// requestEnds lists ways in which the stream of a request ends, and how much of the request then counts as sent. The request
// has a body of 200 bytes, and the server's stream windows have 100.
var requestEnds = map[string]struct {
	end  func(peer *peer, id uint32) *StreamError
	want Moment
}{
	"broken before anything is written": {func(peer *peer, _ uint32) *StreamError { return onlyError(peer.t, peer.machine.Abort(io.EOF)) }, MomentUnsent},
	"broken in the first write": {func(peer *peer, _ uint32) *StreamError {
		peer.machine.PendingBytes() // passed to a write that has not returned
		return onlyError(peer.t, peer.machine.Abort(io.EOF))
	}, MomentStarted},
	"broken after a partial write": {func(peer *peer, _ uint32) *StreamError {
		peer.machine.PendingBytes()
		peer.machine.RecordWrite(12)
		return onlyError(peer.t, peer.machine.Abort(io.EOF))
	}, MomentStarted},
	"broken after all bytes that the window allowed": {func(peer *peer, _ uint32) *StreamError {
		peer.flushOutput()
		return onlyError(peer.t, peer.machine.Abort(io.EOF))
	}, MomentStarted},
	"broken after the complete request": {func(peer *peer, id uint32) *StreamError {
		peer.flushOutput()
		peer.frameWriter.WriteWindowUpdate(id, 1000)
		peer.processInput()
		peer.flushOutput()
		return onlyError(peer.t, peer.machine.Abort(io.EOF))
	}, MomentSent},
	"broken with the last bytes unwritten": {func(peer *peer, id uint32) *StreamError {
		peer.flushOutput()
		peer.frameWriter.WriteWindowUpdate(id, 1000)
		peer.processInput()
		n := len(peer.machine.PendingBytes())
		peer.machine.RecordWrite(n - 1) // no further write starts
		return onlyError(peer.t, peer.machine.Abort(io.EOF))
	}, MomentStarted},
	"answered in part": {func(peer *peer, id uint32) *StreamError {
		peer.flushOutput()
		peer.writeHead(id, false, ":status: 103")
		peer.frameWriter.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		return onlyError(peer.t, peer.processInput())
	}, MomentAnswered},
	"cancelled while its last bytes are not written": {func(peer *peer, id uint32) *StreamError {
		peer.frameWriter.WriteWindowUpdate(id, 1000)
		peer.processInput()
		event, _ := peer.machine.Cancel(id)
		return event.Err
	}, MomentSent},
	"cancelled while it waits for the window": {func(peer *peer, id uint32) *StreamError { event, _ := peer.machine.Cancel(id); return event.Err }, MomentStarted},
}

// onlyError returns the error of the only event, and fails the test if there is not exactly one.
func onlyError(t testing.TB, events []Event) *StreamError {
	t.Helper()
	if len(events) != 1 || events[0].Err == nil {
		t.Fatalf("events %+v, want one error", events)
	}
	return events[0].Err
}

// TestRequestProgressWhenStreamEnds checks how much of a request counts as sent: the bytes that may have been written and, if
// the connection stays open, those that still will be.
func TestRequestProgressWhenStreamEnds(t *testing.T) {
	for name, tc := range requestEnds {
		t.Run(name, func(t *testing.T) {
			peer := newReadyPeer(t, Limits{}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: 100})
			if event := tc.end(peer, peer.open(strings.Repeat("x", 200))); event.Moment != tc.want {
				t.Errorf("request %v, want %v", event.Moment, tc.want)
			}
			if peer.machine.Err() != nil {
				if out := string(peer.machine.PendingBytes()); strings.Contains(out, "xxx") && peer.machine.offered == 0 {
					t.Errorf("output continues after the connection has ended: %q", out)
				}
			}
		})
	}
}
