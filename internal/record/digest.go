package record

import (
	"encoding/binary"
	"fmt"
	"math"

	"lockflow/control"
)

// Digest appends actions to b in a form of their own: equal actions give equal bytes.
func Digest(b []byte, actions []control.Action) []byte {
	text := func(s string) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case control.Send:
			b = append(b, 1)
			text(a.ID)
			b = binary.AppendUvarint(binary.AppendVarint(b, int64(a.Timeout)), uint64(a.Server))
		case control.CancelAttempt:
			b = append(b, 2)
			text(a.ID)
			b = binary.AppendVarint(b, int64(a.Attempt))
		case control.Reject:
			b = append(b, 3)
			text(a.ID)
			b = binary.AppendVarint(b, int64(a.RetryAfter))
		case control.Fail:
			b = append(b, 4)
			text(a.ID)
		case control.StartTimer:
			b = binary.AppendUvarint(binary.AppendVarint(append(b, 5), int64(a.After)), a.Label)
		case control.Disconnect:
			b = binary.AppendUvarint(append(b, 6), uint64(a.Server))
		case control.LogLine:
			b = append(b, 7)
			text(a.Text)
		case control.AddToCounter:
			b = binary.AppendUvarint(append(b, 8), math.Float64bits(a.Add))
		default:
			b = append(b, 9)
			text(rareActionText(a))
		}
	}
	return b
}

// rareActionText is the text by which Digest tells an action without a form of its own. It is part of
// what recordings hold, so it stays as it is whatever the types and fields are called.
func rareActionText(a control.Action) string {
	switch a := a.(type) {
	case control.CheckHealth:
		return fmt.Sprintf("control.Probe {Server:%d}", a.Server)
	case control.WatchEndpoints:
		return fmt.Sprintf("control.Follow {Active:%t}", a.Active)
	case control.FetchEndpoints:
		return "control.Snapshot {}"
	case control.SendPeerMessage:
		return fmt.Sprintf("control.Say {To:%d Raw:%v}", a.To, a.Raw)
	default:
		return fmt.Sprintf("%T %+v", a, a)
	}
}
