package h2

import (
	"testing"
	"time"
)

func TestChooseConnection(t *testing.T) {
	bounds := Bounds{MaxConnections: 2, MaxWaiting: 3, MaxAge: time.Hour}
	view := func(open, free int) View { return View{OpenStreams: open, FreeStreams: free, MaxStreams: open + free} }
	expired := func(w View) View { w.Age = 2 * time.Hour; return w }
	ending := View{OpenStreams: 3, MaxStreams: 10, IsEnding: true}
	for name, tc := range map[string]struct {
		conns          []View
		dialing, waits int
		use            int
		wait, dial     bool
		retire         int
	}{
		"no connection":                      {nil, 0, 0, -1, true, true, -1},
		"one being made":                     {nil, 1, 1, -1, true, false, -1},
		"one with a free stream":             {[]View{view(3, 1)}, 0, 0, 0, false, false, -1},
		"the one with fewer streams":         {[]View{view(3, 1), view(2, 1)}, 0, 0, 1, false, false, -1},
		"one full":                           {[]View{view(4, 0)}, 0, 0, -1, true, true, -1},
		"all full":                           {[]View{view(4, 0), view(4, 0)}, 0, 2, -1, true, false, -1},
		"too many requests wait":             {[]View{view(4, 0), view(4, 0)}, 0, 3, -1, false, false, -1},
		"ending one does not count":          {[]View{ending, view(4, 0)}, 0, 0, -1, true, true, -1},
		"only ending ones":                   {[]View{ending, ending}, 0, 0, -1, true, true, -1},
		"server allows no streams":           {[]View{view(0, 0)}, 0, 0, -1, false, false, -1},
		"one past its age":                   {[]View{expired(view(1, 5))}, 0, 0, 0, false, true, -1},
		"past its age, next being made":      {[]View{expired(view(1, 5))}, 1, 0, 0, false, false, -1},
		"past its age and full":              {[]View{expired(view(5, 0))}, 0, 0, -1, true, true, -1},
		"past its age, and a newer one":      {[]View{expired(view(0, 5)), view(3, 1)}, 0, 0, 1, false, false, 0},
		"past its age, and a full newer one": {[]View{expired(view(0, 5)), view(3, 0)}, 0, 0, 0, false, true, -1},
	} {
		want := Choice{tc.use, tc.wait, tc.dial, tc.retire}
		if got := Choose(tc.conns, tc.dialing, tc.waits, bounds); got != want {
			t.Errorf("%s: choice %+v, want %+v", name, got, want)
		}
	}
}
