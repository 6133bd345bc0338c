package h2

import "time"

// View is the state of a connection, for Choose.
type View struct {
	OpenStreams int
	FreeStreams int  // that can be opened now
	MaxStreams  int  // that the server allows at once
	IsEnding    bool // takes no more requests
	Age         time.Duration
}

// Bounds limit all connections to one server.
type Bounds struct {
	MaxConnections int           // at once, without those that are ending
	MaxWaiting     int           // requests that wait for a stream or a connection
	MaxAge         time.Duration // after which a connection is replaced; 0 is never
}

// Choice is which connection a request takes, and which connections are made or retired. Connections are indexes
// in the list that Choose was given.
type Choice struct {
	Use    int  // the connection that takes the request; -1 is none
	Wait   bool // where there is none, wait for a stream or for a connection that is being made; otherwise fail
	Dial   bool // make another connection
	Retire int  // a connection to be retired now; -1 is none
}

// Choose returns what a request does, given the numbers of connections that are being made and of requests that
// wait. It chooses the connection with the fewest open streams, so that a stalled connection delays few requests.
// Another one is made where none has a free stream or where all are due to be replaced; the old ones take requests
// until then and are retired one at a time.
func Choose(conns []View, dialing, waiting int, bounds Bounds) Choice {
	choice := Choice{Use: -1, Retire: -1}
	oldest := -1 // of those that are due to be replaced
	isDue := func(view View) bool { return bounds.MaxAge > 0 && view.Age >= bounds.MaxAge }
	live := dialing     // connections that are not ending
	allowedStreams := 0 // by the servers, over all live connections
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
	case live > dialing && allowedStreams == 0: // another connection would allow none either
		return choice
	}
	choice.Wait = true
	choice.Dial = dialing == 0 && live < bounds.MaxConnections // how many streams a new one takes is not known yet
	return choice
}
