package h2

import "time"

// View is what Choose knows of a connection.
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

// Choice is what a request does, and what is done to the connections.
type Choice struct {
	Use    int  // the connection that takes it; -1 none
	Wait   bool // without one, wait for a stream or for a connection that is being made; otherwise fail
	Dial   bool // make another connection
	Retire int  // a connection to be replaced now; -1 none
}

// Choose returns what a request does, given the numbers of connections that are being made and of requests that
// wait. It takes the connection with the fewest open streams, so that a stalled connection delays few requests.
// It has another one made where none has a free stream or where all are due to be replaced; those go on meanwhile
// and are retired one at a time.
func Choose(conns []View, dialing, waiting int, bounds Bounds) Choice {
	choice := Choice{Use: -1, Retire: -1}
	oldest := -1 // the oldest of those that are due
	isDue := func(view View) bool { return bounds.MaxAge > 0 && view.Age >= bounds.MaxAge }
	live, allowed := dialing, 0
	for i, view := range conns {
		if view.IsEnding {
			continue
		}
		live++
		allowed += view.MaxStreams
		if isDue(view) {
			if oldest < 0 || view.Age > conns[oldest].Age {
				oldest = i
			}
		} else if view.FreeStreams > 0 && (choice.Use < 0 || view.OpenStreams < conns[choice.Use].OpenStreams) {
			choice.Use = i
		}
	}
	switch {
	case choice.Use >= 0:
		choice.Retire = oldest
		return choice
	case oldest >= 0 && conns[oldest].FreeStreams > 0:
		choice.Use, choice.Dial = oldest, dialing == 0
		return choice
	case waiting >= bounds.MaxWaiting, live > dialing && allowed == 0: // another one would allow none either
		return choice
	}
	// While one is being made it is not known how many it will take.
	choice.Wait, choice.Dial = true, dialing == 0 && live < bounds.MaxConnections
	return choice
}
