package control

import "slices"

// planQueue is the queue of a plan, with its share in the scheduler and what its requests have shown.
type planQueue struct {
	Plan
	index         int // in the settings
	queue         []*request
	share         float64 // weight in the scheduler; those of all plans sum up to one
	deficit       float64 // what the plan is behind its share
	latenessSum   float64 // in this control window, of latency over objective
	latenessCount float64
	meanLateness  float64 // of the latest window with answers

	firstReadings firstReadingEstimate
}

// recordLateness takes the latency of a request over its objective.
func (p *planQueue) recordLateness(lateness float64) {
	p.latenessSum += lateness
	p.latenessCount++
}

// endLatenessWindow returns the mean lateness of the control window that ends, or of the latest one with
// answers.
func (p *planQueue) endLatenessWindow() float64 {
	if p.latenessCount > 0 {
		p.meanLateness = p.latenessSum / p.latenessCount
	}
	p.latenessSum = 0
	p.latenessCount = 0
	return p.meanLateness
}

// pushBack queues a new request.
func (p *planQueue) pushBack(req *request) {
	p.countQueued(req)
	p.queue = append(p.queue, req)
}

// pushFront queues a retry.
func (p *planQueue) pushFront(req *request) {
	p.countQueued(req)
	p.queue = slices.Insert(p.queue, 0, req)
}

func (p *planQueue) countQueued(req *request) {
	req.isQueued = true
	if req.attempts == 0 {
		req.account.queuedUnits += req.units
	}
}

// remove takes a request out of the queue, if it is queued.
func (p *planQueue) remove(req *request) {
	if !req.isQueued {
		return
	}
	req.isQueued = false
	if req.attempts == 0 {
		req.account.queuedUnits -= req.units
	}
	if i := slices.Index(p.queue, req); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}
