package bulkhead

import (
	"math"
	"time"
)

// paceOver is the span over which use of time is smoothed.
const paceOver = time.Second

// Pace divides the time of a processor: how much of each second each owner may use. It only
// tells, and takes nothing away that is in use. Its promise: an owner within its guaranteed
// part is never held back, whatever the others use; one beyond it only while all together
// use more than there is. It is not safe for concurrent use.
type Pace struct {
	total  float64
	owners []paced
	all    paced
}

type paced struct {
	guaranteed float64
	used       float64 // smoothed, s per s
	at         time.Duration
}

func (p *paced) fade(now time.Duration) {
	if now > p.at {
		p.used *= math.Exp(-float64(now-p.at) / float64(paceOver))
		p.at = now
	}
}

func (p *paced) add(now, took time.Duration) {
	p.fade(now)
	p.used += float64(took) / float64(paceOver)
}

// NewPace makes a pace of so many seconds of a second in all.
func NewPace(total float64) *Pace { return &Pace{total: total} }

// SetTotal sets how many seconds of a second there are in all.
func (p *Pace) SetTotal(total float64) { p.total = total }

// Set sets an owner's guaranteed part, in seconds of a second.
func (p *Pace) Set(o Owner, guaranteed float64) {
	for int(o) >= len(p.owners) {
		p.owners = append(p.owners, paced{})
	}
	p.owners[o].guaranteed = guaranteed
}

// Spent notes that an owner has used some time.
func (p *Pace) Spent(now time.Duration, o Owner, took time.Duration) {
	p.owners[o].add(now, took)
	p.all.add(now, took)
}

// Within tells whether an owner may go on using time.
func (p *Pace) Within(now time.Duration, o Owner) bool {
	w := &p.owners[o]
	w.fade(now)
	p.all.fade(now)
	return w.used <= w.guaranteed || p.all.used <= p.total
}

// Used is what an owner used of late, in seconds of a second.
func (p *Pace) Used(now time.Duration, o Owner) float64 {
	p.owners[o].fade(now)
	return p.owners[o].used
}
