package h2

import "time"

// View is the state of a connection that Choose decides by.
type View struct {
	OpenStreams int
	FreeStreams int  // streams that can be opened now
	MaxStreams  int  // limit on concurrent streams, by this side and by the server
	IsEnding    bool // the connection accepts no more requests
	Age         time.Duration
}

// Bounds limit all connections to one server.
type Bounds struct {
	MaxConnections int           // limit on concurrent connections, not counting those that are ending
	MaxWaiting     int           // limit on requests that wait for a stream or a connection
	MaxAge         time.Duration // age at which a connection is replaced; 0 means never
}

// Choice is the decision of Choose: which connection a request takes, and which connections are made or retired.
// Connections are given as indexes into the list passed to Choose.
type Choice struct {
	Use    int  // the connection that takes the request; -1 for none
	Wait   bool // if Use is -1: wait for a stream or for a connection that is being made; false means that the request fails
	Dial   bool // start making another connection
	Retire int  // the connection to retire now; -1 for none
}

// Choose selects a connection for a request, given the number of connections being made and the number of waiting
// requests. It selects the connection with the fewest open streams, so that a stalled connection delays few requests.
// Another connection is made if none has a free stream or if all have reached MaxAge; those past MaxAge take requests
// until a replacement is available and are then retired one at a time.
func Choose(conns []View, dialing, waiting int, bounds Bounds) Choice {
	choice := Choice{Use: -1, Retire: -1}
	oldest := -1 // the oldest connection that has reached MaxAge
	isDue := func(view View) bool { return bounds.MaxAge > 0 && view.Age >= bounds.MaxAge }
	live := dialing     // connections that are not ending, including those being made
	allowedStreams := 0 // sum of the stream limits of all established connections that are not ending
	for i, view := range conns {
		if view.IsEnding {
			continue
		}
		live++
		allowedStreams += view.MaxStreams
		switch {
		case isDue(view):
			if oldest < 0 || view.Age > conns[oldest].Age {
				oldest = i
			}
		case view.FreeStreams <= 0:
		case choice.Use < 0 || view.OpenStreams < conns[choice.Use].OpenStreams:
			choice.Use = i
		}
	}
	switch {
	case choice.Use >= 0:
		choice.Retire = oldest
		return choice
	case oldest >= 0 && conns[oldest].FreeStreams > 0:
		choice.Use = oldest
		choice.Dial = dialing == 0
		return choice
	case waiting >= bounds.MaxWaiting:
		return choice
	case live > dialing && allowedStreams == 0: // the server allows no streams; another connection would not either
		return choice
	}
	choice.Wait = true
	choice.Dial = dialing == 0 && live < bounds.MaxConnections // one dial at a time: the stream limit of the new connection is not known yet
	return choice
}
