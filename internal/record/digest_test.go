package record

import (
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
