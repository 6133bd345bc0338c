package control

import "time"

// minClockShift is the minimum difference between two clocks that Shift treats as a step of one of them. Smaller
// differences are measurement errors.
const minClockShift = time.Second

// Shift moves all times of a checkpoint by the difference between the clocks of the controller that restores it and the
// one that took it, since the wall clock may have been stepped between the starts of the two. A difference below a second
// changes nothing; a larger one is rounded to bins of the histories.
func (c *Checkpoint) Shift(difference time.Duration) {
	if difference.Abs() < minClockShift {
		return
	}
	bin := binDurationOf(c.Meter.Period)
	difference = difference.Round(bin)
	bins := int64(difference / bin)
	move := func(t *time.Duration) {
		if *t != 0 { // zero means never or long ago
			*t += difference
		}
	}
	for _, t := range []*time.Duration{&c.At, &c.RefillStart, &c.Window.EndsAt, &c.Window.CutAt} {
		move(t)
	}
	c.Meter.PhaseBin = ((c.Meter.PhaseBin+bins)%binsPerPeriod + binsPerPeriod) % binsPerPeriod
	for i := range c.Servers {
		c.Servers[i].shift(move)
	}
	for i := range c.Customers {
		c.Customers[i].shift(move, bins)
	}
}

func (s *ServerCheckpoint) shift(move func(*time.Duration)) {
	for _, t := range []*time.Duration{&s.StartedAt, &s.LatencyAt, &s.FailureRateAt, &s.EjectedUntil} {
		move(t)
	}
	for i := range s.AbandonedUntil {
		move(&s.AbandonedUntil[i])
	}
	for plan, until := range s.PlanRejectedUntil {
		move(&until)
		s.PlanRejectedUntil[plan] = until
	}
}

func (c *CustomerCheckpoint) shift(move func(*time.Duration), bins int64) {
	for _, t := range []*time.Duration{&c.RemoteRateAt, &c.ReadingAt, &c.RequestedAt} {
		move(t)
	}
	c.ReadingEndBin += bins
	for _, amounts := range [][]BinAmount{c.Sent, c.Charged, c.Arrivals, c.Rejections} {
		for i := range amounts {
			amounts[i].Bin += bins
		}
	}
}
