package cransched

import "time"

const (
	// TicketSlots is what the ticket requests of a process that are under way may take together. The advice service
	// handles them one after the other. A request takes the part of the slots that its handling takes of
	// ticketQueueTime, but at most half: a second one keeps the service busy while the answer to the first is under way.
	TicketSlots = 16
	// ticketQueueTime is how long the service may be busy with the requests of a process.
	ticketQueueTime = 250 * time.Millisecond
	// ticketTimeout is how long a request may take beyond the time in which the service handles it and those before it.
	ticketTimeout = 3 * time.Second
	// ticketRetryInterval is the time between the response to a ticket request and the
	// next request for the same stage.
	ticketRetryInterval = 500 * time.Millisecond
	// maxTicketRetryInterval bounds that time for a stage of which one request after the other fails. It doubles with
	// each, so that others get their turn.
	maxTicketRetryInterval = 8 * time.Second
	// failuresInRow is the number of failures without an answer between them after which the service counts as failing.
	failuresInRow = 2
)

// ticketPacer bounds the ticket requests under way. A request that waits in the queue of the advice service for longer
// than the owner waits for its answer is handled in vain, and so are all others if the owner then sends it again.
type ticketPacer struct {
	// underWay holds the slots of the request under way of each stage, also of those whose job has ended since, and inUse
	// their sum.
	underWay map[StepName]int
	inUse    int
	// waiting is set once a request has found too few free slots in this round. Those of lower rank wait behind it.
	waiting bool
	stages  map[StepName]*ticketStage
	// failures counts the requests without an answer, less those with one; it is never negative.
	failures int
	// notBefore is the earliest time of the next request.
	notBefore time.Duration
}

// ticketStage is what is known about the ticket requests of a stage.
type ticketStage struct {
	// notBefore is the earliest time of the next request.
	notBefore time.Duration
	// failures counts the requests without an answer since the last one with an answer.
	failures int
}

func newTicketPacer() ticketPacer {
	return ticketPacer{underWay: map[StepName]int{}, stages: map[StepName]*ticketStage{}}
}

// stage returns what is known about a stage.
func (p *ticketPacer) stage(name StepName) *ticketStage {
	st := p.stages[name]
	if st == nil {
		st = &ticketStage{}
		p.stages[name] = st
	}
	return st
}

// forget drops what is known about a stage.
func (p *ticketPacer) forget(name StepName) { delete(p.stages, name) }

// mayRequest reports whether a request for a stage may be sent if there are slots for it.
func (p *ticketPacer) mayRequest(name StepName, now time.Duration) bool {
	return now >= p.notBefore && !p.waiting && p.underWay[name] == 0 && now >= p.stage(name).notBefore
}

// begin returns the request for a stage, which is under way from now on. It returns false if there are too few slots.
func (p *ticketPacer) begin(q *Queue, name StepName, targets []string) (RequestTickets, bool) {
	slots, handling := q.ticketSlots(len(targets)), q.ticketTime(len(targets))
	if p.inUse+slots > TicketSlots {
		p.waiting = true
		return RequestTickets{}, false
	}
	p.underWay[name] = slots
	p.inUse += slots
	timeout := ticketTimeout + ticketQueueTime + 2*handling
	if p.isFailing() {
		timeout *= 2
	}
	return RequestTickets{Queue: q.Name, Step: name, Targets: targets, Timeout: timeout, Slots: slots}, true
}

// end records that the request of a stage isn't under way any more.
func (p *ticketPacer) end(name StepName) {
	p.inUse -= p.underWay[name]
	delete(p.underWay, name)
}

// answered records the answer to a request.
func (p *ticketPacer) answered(name StepName, now time.Duration) {
	p.end(name)
	p.failures = max(p.failures-1, 0)
	*p.stage(name) = ticketStage{notBefore: now + ticketRetryInterval}
}

// failed records that a request got no answer or was refused.
func (p *ticketPacer) failed(name StepName, now time.Duration) {
	p.end(name)
	p.failures = min(p.failures+1, 2*failuresInRow)
	if p.isFailing() {
		p.notBefore = now + ticketRetryInterval
	}
	st := p.stage(name)
	st.notBefore = now + min(ticketRetryInterval<<st.failures, maxTicketRetryInterval)
	st.failures = min(st.failures+1, 4)
}

// isFailing reports whether more than single requests have failed lately.
func (p *ticketPacer) isFailing() bool { return p.failures >= failuresInRow }

// ticketTime returns the time in which the advice service handles a request that names a number of targets.
func (q *Queue) ticketTime(targets int) time.Duration {
	return q.TicketTime + time.Duration(targets)*q.TicketTimePerTarget
}

// ticketSlots returns how many of the TicketSlots a request takes that names a number of targets: all of them if the
// tickets would have expired, or soon would, after it has waited for another, and half if its time isn't known.
func (q *Queue) ticketSlots(targets int) int {
	const most = TicketSlots / 2
	handling := q.ticketTime(targets)
	switch {
	case q.TicketValidity > 0 && 2*handling+ticketMargin > q.TicketValidity/2:
		return TicketSlots
	case handling <= 0:
		return most
	}
	return min(max(int((TicketSlots*handling+ticketQueueTime-1)/ticketQueueTime), 1), most)
}
