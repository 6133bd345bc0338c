package record

import (
	"encoding/hex"
	"testing"

	"lockflow/control"
)

// TestDigestTextOfOtherActions compares the texts with those that the digests in recordings of earlier builds are based
// on.
func TestDigestTextOfOtherActions(t *testing.T) {
	cases := []struct {
		action control.Action
		want   string
	}{
		{control.CheckHealth{Server: 7}, "control.Probe {Server:7}"},
		{control.WatchEndpoints{Active: true}, "control.Follow {Active:true}"},
		{control.FetchEndpoints{}, "control.Snapshot {}"},
		{control.SendPeerMessage{To: -1, Raw: []byte{1, 200}}, "control.Say {To:-1 Raw:[1 200]}"},
	}
	for _, c := range cases {
		if got := otherActionText(c.action); got != c.want {
			t.Errorf("%T: text %q, want %q", c.action, got, c.want)
		}
	}
}

// The digest of each action equals that of the builds whose recordings exist: a rename in package control must not
// change it.
func TestDigestOfEachAction(t *testing.T) {
	for _, c := range []struct {
		action control.Action
		want   string
	}{
		{control.Send{ID: "a", Server: 300, Timeout: 5, WriteTimeout: 6}, "0101610aac02"},
		{control.CancelAttempt{ID: "a", Attempt: 3}, "02016106"},
		{control.Reject{ID: "a", RetryAfter: 7, Cause: control.CauseTooLate}, "0301610e"},
		{control.Fail{ID: "a", Cause: control.CauseNoRetry}, "040161"},
		{control.StartTimer{After: 8, Label: 9}, "051009"},
		{control.Disconnect{Server: 10}, "060a"},
		{control.LogLine{Text: "so"}, "0702736f"},
		{control.AddToCounter{Name: 1, Add: 1.5, Lifetime: 2}, "0880808080808080fc3f"},
		{control.CheckHealth{Server: 11}, "0919" + text("control.Probe {Server:11}")},
		{control.WatchEndpoints{Active: true}, "091c" + text("control.Follow {Active:true}")},
		{control.FetchEndpoints{}, "0913" + text("control.Snapshot {}")},
		{control.SendPeerMessage{To: -1, Raw: []byte{1, 200}}, "091f" + text("control.Say {To:-1 Raw:[1 200]}")},
		{control.SendPeerMessage{To: 2}, "0919" + text("control.Say {To:2 Raw:[]}")},
	} {
		if got := hex.EncodeToString(Digest(nil, []control.Action{c.action})); got != c.want {
			t.Errorf("%T %+v: digest %s, want %s", c.action, c.action, got, c.want)
		}
	}
}

func text(s string) string { return hex.EncodeToString([]byte(s)) }
