package record

import (
	"encoding/binary"
	"fmt"
	"math"

	"lockflow/control"
)

// actionCode identifies the type of an action in a digest. The numbers are part of what recordings hold.
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
	codeOtherAction // any other action, with a text
)

// Digest appends actions to buffer in a form of their own, and returns it: equal actions give equal bytes. The form is
// part of what recordings hold; it has some fields of the actions only.
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

// rareActionText is the text that Digest appends for an action without a form of its own. It is stored in recordings,
// so it must not change with the names of types and fields.
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
