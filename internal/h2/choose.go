package h2

import "time"

// View is a connection as the choice of one sees it.
type View struct {
	OpenStreams int // streams
	FreeStreams int // for further ones
	MaxStreams  int // of streams at once, by the server
	IsEnding    bool
	Age         time.Duration
}

// Bounds are those of all connections to one server.
type Bounds struct {
	MaxConnections int           // at once, beside those that end
	MaxWaiting     int           // requests that wait for a stream or a connection
	MaxAge         time.Duration // from which on a connection is replaced; 0 is never
}

// Choice is what becomes of a request.
type Choice struct {
	Use    int  // the connection that takes it; -1 none
	Wait   bool // with none: for a stream, or for a connection that is being made; else there is no place
	Dial   bool // another connection is to be made
	Retire int  // a connection to be replaced now; -1 none
}

// Choose tells what a request does, where so many connections are being made and so many requests
// wait. It takes the connection with the fewest open streams, so that what holds one up holds up
// few, and has another one made where none has room or where all are due to be replaced: those
// that are go on meanwhile, and are retired one at a time.
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
