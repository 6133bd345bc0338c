package h2

import "time"

// View is a connection as the choice of one sees it.
type View struct {
	Open   int // streams
	Room   int // for further ones
	Limit  int // of streams at once, by the server
	Ending bool
	Age    time.Duration
}

// Bounds are those of all connections to one server.
type Bounds struct {
	Conns   int           // at once, beside those that end
	Waiting int           // requests that wait for a stream or a connection
	Age     time.Duration // from which on a connection is replaced; 0 is never
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
func Choose(conns []View, dialing, waiting int, b Bounds) Choice {
	c := Choice{Use: -1, Retire: -1}
	old := -1 // the oldest of those that are due
	due := func(v View) bool { return b.Age > 0 && v.Age >= b.Age }
	live, allowed := dialing, 0
	for i, v := range conns {
		if v.Ending {
			continue
		}
		live++
		allowed += v.Limit
		if due(v) {
			if old < 0 || v.Age > conns[old].Age {
				old = i
			}
		} else if v.Room > 0 && (c.Use < 0 || v.Open < conns[c.Use].Open) {
			c.Use = i
		}
	}
	switch {
	case c.Use >= 0:
		c.Retire = old
		return c
	case old >= 0 && conns[old].Room > 0:
		c.Use, c.Dial = old, dialing == 0
		return c
	case waiting >= b.Waiting, live > dialing && allowed == 0: // another one would allow none either
		return c
	}
	// While one is being made it is not known how many it will take.
	c.Wait, c.Dial = true, dialing == 0 && live < b.Conns
	return c
}
