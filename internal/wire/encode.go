package wire

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"lockflow/control"
)

// AppendEnd appends the end of a reply.
func AppendEnd(b []byte) []byte { return append(b, "yield\n"...) }

// AppendBailOut appends the report that an instance's decisions have failed.
func AppendBailOut(b []byte, who int, text string) []byte {
	return appendText(beginLine(b, "bail_out", who), text)
}

// AppendAction appends one action of an instance.
func AppendAction(b []byte, who int, a control.Action) []byte {
	switch a := a.(type) {
	case control.Send:
		b = appendPair(beginLine(b, "call_out", who), " xid=", a.ID)
		b = strconv.AppendUint(append(b, " server="...), uint64(a.Server), 10)
		if a.Timeout != 0 {
			b = appendMS(append(b, " within="...), a.Timeout)
		}
	case control.CancelAttempt:
		b = appendPair(beginLine(b, "withdraw", who), " xid=", a.ID)
		b = strconv.AppendInt(append(b, " n="...), int64(a.Attempt), 10)
	case control.Reject:
		b = appendPair(beginLine(b, "busy", who), " xid=", a.ID)
		if a.RetryAfter > 0 {
			b = appendMS(append(b, " backoff="...), a.RetryAfter)
		}
	case control.Fail:
		b = appendPair(beginLine(b, "finish_error", who), " xid=", a.ID)
	case control.StartTimer:
		b = appendMS(append(beginLine(b, "arm", who), " offset="...), a.After)
		b = strconv.AppendUint(append(b, " label="...), a.Label, 10)
	case control.CheckHealth:
		b = strconv.AppendUint(append(beginLine(b, "poll", who), " server="...), uint64(a.Server), 10)
	case control.Disconnect:
		b = strconv.AppendUint(append(beginLine(b, "disconnect", who), " server="...), uint64(a.Server), 10)
	case control.WatchEndpoints:
		b = appendPair(beginLine(b, "follow", who), " active=", map[bool]string{true: "1", false: "0"}[a.Active])
	case control.FetchEndpoints:
		b = beginLine(b, "snapshot", who)
	case control.SendPeerMessage:
		b = append(beginLine(b, "say", who), " neighbour-id="...)
		if a.To < 0 {
			b = append(b, "all"...)
		} else {
			b = strconv.AppendInt(b, int64(a.To), 10)
		}
		b = appendPair(b, " raw=", hexOrDash(a.Raw))
	case control.AddToCounter:
		b = strconv.AppendUint(append(beginLine(b, "incr", who), " cname="...), a.Name, 10)
		b = strconv.AppendFloat(append(b, " by="...), a.Add, 'f', -1, 64)
		b = appendMS(append(b, " expire-in="...), a.Lifetime)
	case control.LogLine:
		return appendText(beginLine(b, "remark", who), a.Text)
	default:
		panic(fmt.Sprintf("wire: no text for action %T", a))
	}
	return append(b, '\n')
}

func beginLine(b []byte, name string, who int) []byte {
	return strconv.AppendInt(append(append(b, name...), " who="...), int64(who), 10)
}

func appendPair(b []byte, key, value string) []byte { return append(append(b, key...), value...) }

func appendMS(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d/time.Microsecond)/1000, 'f', -1, 64)
}

func appendText(b []byte, text string) []byte {
	text = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
	return append(appendPair(b, " body-text=", text), '\n')
}

func hexOrDash(raw []byte) string {
	if len(raw) == 0 {
		return "-"
	}
	return hex.EncodeToString(raw)
}
