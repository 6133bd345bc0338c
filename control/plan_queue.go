package control

import "slices"

// planQueue is the queue of a plan, with its share in the scheduler and the measurements of its requests.
type planQueue struct {
	Plan
	index         int // index in the settings
	queue         []*request
	share         float64 // weight in the scheduler; the shares of all plans add up to one
	deficit       float64 // service that the plan is owed according to its share
	latenessSum   float64 // sum of latency over objective in this control window
	latenessCount float64
	meanLateness  float64 // mean lateness of the latest window with answers

	firstReadings firstReadingEstimate
}

// recordLateness records the latency of a request divided by its objective.
func (p *planQueue) recordLateness(lateness float64) {
	p.latenessSum += lateness
	p.latenessCount++
}

// endLatenessWindow returns the mean lateness of the control window that ends, or that of the latest window
// with answers if it had none.
func (p *planQueue) endLatenessWindow() float64 {
	if p.latenessCount > 0 {
		p.meanLateness = p.latenessSum / p.latenessCount
	}
	p.latenessSum = 0
	p.latenessCount = 0
	return p.meanLateness
}

// pushBack adds a new request at the end of the queue.
func (p *planQueue) pushBack(req *request) {
	p.countQueued(req)
	p.queue = append(p.queue, req)
}

// pushFront adds a retry at the head of the queue.
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

// remove removes a request from the queue if it is queued.
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
