package history

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Exchanges counts what became of requests: final answers at the clients, effects at the servers,
// and generations at the members. The zero value is ready; its methods are safe for concurrent use.
type Exchanges struct {
	mu      sync.Mutex
	begun   time.Time
	asked   map[string]*asked
	effects map[string][]string // by what must not happen twice, the servers
	seen    map[string][]Generation
	wanted  map[string]bool
	wrong   []string
	dropped int
}

type asked struct {
	answers []string
	lost    string // why there was none
}

// Generation is what a member ran at a time.
type Generation struct {
	At   time.Duration
	Hash string
}

func (x *Exchanges) init() {
	if x.asked == nil {
		x.begun = time.Now()
		x.asked, x.effects = make(map[string]*asked), make(map[string][]string)
		x.seen, x.wanted = make(map[string][]Generation), make(map[string]bool)
	}
}

func (x *Exchanges) room(n int) bool {
	if n < Most {
		return true
	}
	x.dropped++
	return false
}

// Asked notes that a client sends a request with an id of its own.
func (x *Exchanges) Asked(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	if x.asked[id] != nil {
		x.wrong = append(x.wrong, fmt.Sprintf("request %s: asked twice", id))
		return
	}
	if x.room(len(x.asked)) {
		x.asked[id] = &asked{}
	}
}

// Answered notes a final answer that came for a request.
func (x *Exchanges) Answered(id, answer string) {
	x.of(id, func(a *asked) { a.answers = append(a.answers, answer) })
}

// Broken notes that no answer will come and why: the connection was reset, or the client's time
// has ended. What a fault on the client's side of the node explains may end so.
func (x *Exchanges) Broken(id, why string) { x.of(id, func(a *asked) { a.lost = why }) }

func (x *Exchanges) of(id string, f func(*asked)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	if a := x.asked[id]; a != nil {
		f(a)
	} else if x.dropped == 0 {
		x.wrong = append(x.wrong, fmt.Sprintf("request %s: answered, and never asked", id))
	}
}

// Effect notes that a server did something that must not happen twice.
func (x *Exchanges) Effect(key, server string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	if x.effects[key] != nil || x.room(len(x.effects)) {
		x.effects[key] = append(x.effects[key], server)
	}
}

// Want notes a generation as one that somebody wants, from the begin on.
func (x *Exchanges) Want(hash string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	x.wanted[hash] = true
}

// Saw notes the generation that a member told; one that it told last is noted once.
func (x *Exchanges) Saw(member, hash string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.init()
	all := x.seen[member]
	if len(all) > 0 && all[len(all)-1].Hash == hash || !x.room(len(all)) {
		return
	}
	x.seen[member] = append(all, Generation{time.Since(x.begun), hash})
}

// Generations are what members have run, in order.
func (x *Exchanges) Generations(member string) []Generation {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.seen[member])
}

// Check lists what is wrong, sorted: a request with more than one final answer, or with neither
// an answer nor a known reason for none; an effect that happened twice; a generation that nobody
// wants. unanswered tells whether a request may end with no answer for the reason noted; nil is
// none may.
func (x *Exchanges) Check(unanswered func(why string) bool) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	wrong := slices.Clone(x.wrong)
	if x.dropped > 0 {
		wrong = append(wrong, fmt.Sprintf("%d notes more than %d", x.dropped, Most))
	}
	for id, a := range x.asked {
		switch n := len(a.answers); {
		case n > 1:
			wrong = append(wrong, fmt.Sprintf("request %s: %d final answers: %v", id, n, a.answers))
		case n == 1 && a.lost != "":
			wrong = append(wrong, fmt.Sprintf("request %s: answered %s, and broken: %s", id, a.answers[0], a.lost))
		case n == 0 && (a.lost == "" || unanswered == nil || !unanswered(a.lost)):
			wrong = append(wrong, fmt.Sprintf("request %s: no final answer: %s", id, a.lost))
		}
	}
	for key, at := range x.effects {
		if len(at) > 1 {
			wrong = append(wrong, fmt.Sprintf("effect %s: %d times, at %v", key, len(at), at))
		}
	}
	for member, all := range x.seen {
		for _, g := range all {
			if len(x.wanted) > 0 && !x.wanted[g.Hash] {
				wrong = append(wrong, fmt.Sprintf("member %s at %v: generation %s, which nobody wants", member, g.At.Round(time.Millisecond), g.Hash))
			}
		}
	}
	slices.Sort(wrong)
	return wrong
}

// Wrong notes a violation that was seen at once.
func (x *Exchanges) Wrong(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.init(); x.room(len(x.wrong)) {
		x.wrong = append(x.wrong, fmt.Sprintf(format, args...))
	}
}

// Counts tells how many requests were asked and how many of them answered.
func (x *Exchanges) Counts() (requests, answered int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.asked {
		if len(a.answers) > 0 {
			answered++
		}
	}
	return len(x.asked), answered
}

// Effects is how many different effects have happened.
func (x *Exchanges) Effects() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.effects)
}
