package record

import (
	"encoding/binary"
	"fmt"
	"math"

	"lockflow/control"
)

// actionCode identifies the type of an action in a digest. Recordings store digests, so the numbers must not change.
type actionCode = byte

const (
	codeSend actionCode = iota + 1
	codeCancelAttempt
	codeReject
	codeFail
	codeStartTimer
	codeDisconnect
	codeLogLine
	codeAddToCounter
	codeOtherAction // any other action, encoded as text
)

// Digest appends an encoding of actions to buffer and returns it: equal actions give equal bytes. Recordings store a
// hash of the encoding, so it must not change. It contains only some of the actions' fields.
func Digest(buffer []byte, actions []control.Action) []byte {
	for _, action := range actions {
		buffer = appendAction(buffer, action)
	}
	return buffer
}

func appendAction(buffer []byte, action control.Action) []byte {
	switch a := action.(type) {
	case control.Send:
		buffer = appendText(append(buffer, codeSend), a.ID)
		buffer = binary.AppendVarint(buffer, int64(a.Timeout))
		return binary.AppendUvarint(buffer, uint64(a.Server))
	case control.CancelAttempt:
		buffer = appendText(append(buffer, codeCancelAttempt), a.ID)
		return binary.AppendVarint(buffer, int64(a.Attempt))
	case control.Reject:
		buffer = appendText(append(buffer, codeReject), a.ID)
		return binary.AppendVarint(buffer, int64(a.RetryAfter))
	case control.Fail:
		return appendText(append(buffer, codeFail), a.ID)
	case control.StartTimer:
		buffer = binary.AppendVarint(append(buffer, codeStartTimer), int64(a.After))
		return binary.AppendUvarint(buffer, a.Label)
	case control.Disconnect:
		return binary.AppendUvarint(append(buffer, codeDisconnect), uint64(a.Server))
	case control.LogLine:
		return appendText(append(buffer, codeLogLine), a.Text)
	case control.AddToCounter:
		return binary.AppendUvarint(append(buffer, codeAddToCounter), math.Float64bits(a.Add))
	default:
		return appendText(append(buffer, codeOtherAction), otherActionText(a))
	}
}

func appendText(buffer []byte, text string) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(text)))
	return append(buffer, text...)
}

// otherActionText returns the text that Digest appends for an action without a binary encoding. Recordings store a hash
// of it, so it must not change when types or fields are renamed.
func otherActionText(action control.Action) string {
	switch a := action.(type) {
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
