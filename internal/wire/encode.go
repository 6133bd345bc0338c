package wire

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lockflow/control"
)

// AppendEnd appends the line that ends a reply.
func AppendEnd(b []byte) []byte { return append(b, "yield\n"...) }

// AppendModuleFailure appends the line that reports that an instance's module has failed.
func AppendModuleFailure(b []byte, instance int, text string) []byte {
	return appendText(beginLine(b, "bail_out", instance), text)
}

// AppendAction appends the line of one action of an instance. It panics for a type that the protocol does not have.
func AppendAction(b []byte, instance int, a control.Action) []byte {
	switch a := a.(type) {
	case control.Send:
		b = appendPair(beginLine(b, "call_out", instance), " xid=", a.ID)
		b = strconv.AppendUint(append(b, " server="...), uint64(a.Server), 10)
		if a.Timeout != 0 {
			b = appendMilliseconds(append(b, " within="...), a.Timeout)
		}
	case control.CancelAttempt:
		b = appendPair(beginLine(b, "withdraw", instance), " xid=", a.ID)
		b = strconv.AppendInt(append(b, " n="...), int64(a.Attempt), 10)
	case control.Reject:
		b = appendPair(beginLine(b, "busy", instance), " xid=", a.ID)
		if a.RetryAfter > 0 {
			b = appendMilliseconds(append(b, " backoff="...), a.RetryAfter)
		}
	case control.Fail:
		b = appendPair(beginLine(b, "finish_error", instance), " xid=", a.ID)
	case control.StartTimer:
		b = appendMilliseconds(append(beginLine(b, "arm", instance), " offset="...), a.After)
		b = strconv.AppendUint(append(b, " label="...), a.Label, 10)
	case control.CheckHealth:
		b = strconv.AppendUint(append(beginLine(b, "poll", instance), " server="...), uint64(a.Server), 10)
	case control.Disconnect:
		b = strconv.AppendUint(append(beginLine(b, "disconnect", instance), " server="...), uint64(a.Server), 10)
	case control.WatchEndpoints:
		active := "0"
		if a.Active {
			active = "1"
		}
		b = appendPair(beginLine(b, "follow", instance), " active=", active)
	case control.FetchEndpoints:
		b = beginLine(b, "snapshot", instance)
	case control.SendPeerMessage:
		b = append(beginLine(b, "say", instance), " neighbour-id="...)
		if a.To < 0 {
			b = append(b, "all"...)
		} else {
			b = strconv.AppendInt(b, int64(a.To), 10)
		}
		b = appendPair(b, " raw=", hexOrDash(a.Raw))
	case control.AddToCounter:
		b = strconv.AppendUint(append(beginLine(b, "incr", instance), " cname="...), a.Name, 10)
		b = strconv.AppendFloat(append(b, " by="...), a.Add, 'f', -1, 64)
		b = appendMilliseconds(append(b, " expire-in="...), a.Lifetime)
	case control.LogLine:
		return appendText(beginLine(b, "remark", instance), a.Text)
	default:
		panic(fmt.Sprintf("wire: no text for action %T", a))
	}
	return append(b, '\n')
}

// beginLine appends the start of a line: its name and the instance.
func beginLine(b []byte, name string, instance int) []byte {
	return strconv.AppendInt(append(append(b, name...), " who="...), int64(instance), 10)
}

func appendPair(b []byte, key, value string) []byte { return append(append(b, key...), value...) }

// appendMilliseconds appends a duration in milliseconds, truncated to microseconds.
func appendMilliseconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d/time.Microsecond)/1000, 'f', -1, 64)
}

// appendText appends a text as the last field of a line, with control characters replaced by spaces, and ends
// the line.
func appendText(b []byte, text string) []byte {
	text = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
	return append(appendPair(b, " body-text=", text), '\n')
}

// hexOrDash encodes bytes as hex, or as "-" if there are none.
func hexOrDash(raw []byte) string {
	if len(raw) == 0 {
		return "-"
	}
	return hex.EncodeToString(raw)
}
