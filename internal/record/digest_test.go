package record

import (
	"encoding/hex"
	"testing"

	"lockflow/control"
)

// TestDigestTextOfRareActions holds the texts that recordings of earlier builds were digested with.
func TestDigestTextOfRareActions(t *testing.T) {
	cases := []struct {
		action control.Action
		want   string
	}{
		{control.Probe{Server: 7}, "control.Probe {Server:7}"},
		{control.Follow{Active: true}, "control.Follow {Active:true}"},
		{control.Snapshot{}, "control.Snapshot {}"},
		{control.Say{To: -1, Raw: []byte{1, 200}}, "control.Say {To:-1 Raw:[1 200]}"},
	}
	for _, c := range cases {
		if got := rareActionText(c.action); got != c.want {
			t.Errorf("%T: text %q, want %q", c.action, got, c.want)
		}
	}
}

// The digest of each action is what recordings were written with: a rename in the module changes none.
func TestDigestOfEachAction(t *testing.T) {
	for _, c := range []struct {
		action control.Action
		want   string
	}{
		{control.Send{ID: "a", Server: 300, Within: 5, Begin: 6}, "0101610aac02"},
		{control.Withdraw{ID: "a", N: 3}, "02016106"},
		{control.Refuse{ID: "a", RetryAfter: 7, Why: control.TooLate}, "0301610e"},
		{control.Fail{ID: "a", Why: control.NoFurther}, "040161"},
		{control.Arm{After: 8, Label: 9}, "051009"},
		{control.Disconnect{Server: 10}, "060a"},
		{control.Remark{Text: "so"}, "0702736f"},
		{control.Count{Name: 1, Add: 1.5, Lives: 2}, "0880808080808080fc3f"},
		{control.Probe{Server: 11}, "0919" + text("control.Probe {Server:11}")},
		{control.Follow{Active: true}, "091c" + text("control.Follow {Active:true}")},
		{control.Snapshot{}, "0913" + text("control.Snapshot {}")},
		{control.Say{To: -1, Raw: []byte{1, 200}}, "091f" + text("control.Say {To:-1 Raw:[1 200]}")},
		{control.Say{To: 2}, "0919" + text("control.Say {To:2 Raw:[]}")},
	} {
		if got := hex.EncodeToString(Digest(nil, []control.Action{c.action})); got != c.want {
			t.Errorf("%T %+v: %s, not %s", c.action, c.action, got, c.want)
		}
	}
}

func text(s string) string { return hex.EncodeToString([]byte(s)) }
