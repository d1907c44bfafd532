package cransched

import "time"

const (
	// advisedTargets is the most targets that one call for advice names: each
	// named target makes the answer later.
	maxTicketTargets = 30
	// adviceRetry is the pause after a call for advice that brought no ticket.
	ticketRetryInterval = 500 * time.Millisecond
	// ticketMargin is taken off a ticket's life for the start to travel.
	ticketMargin = 300 * time.Millisecond
)

// Ticket lets the tasks of one step start at one target for a while.
type Ticket struct{ Target, Text string }

// consult asks which targets may run a stage, unless some are known or a call
// is under way. It reports whether the stage needs no advice or has some.
func (s *Scheduler) ensureTicket(cand candidate, targets []*target) bool {
	if cand.job.queue == nil || !cand.job.queue.RequiresTicket {
		return true
	}
	now := s.clock.Steady
	for _, t := range targets {
		if t.validTicket(cand.stage.name, now) != "" {
			return true
		}
	}
	if now < s.nextTicketRequest[cand.stage.name] {
		return false
	}
	var ids []string
	for _, t := range targets {
		if len(ids) < maxTicketTargets && s.canPlace(cand.stage, t) {
			ids = append(ids, t.info.ID)
		}
	}
	if len(ids) == 0 {
		return false
	}
	// Until the answer no other call is made for the stage.
	s.nextTicketRequest[cand.stage.name] = now + ticketRequestTimeout
	s.emit(RequestTickets{Queue: cand.job.Queue, Step: cand.stage.name, Targets: ids})
	return false
}

// adviceTimeout is how long an answer of the advice service is waited for.
const ticketRequestTimeout = 3 * time.Second

// Advised takes in which targets may run a step, and how long the tickets hold
// from the sending of the call on; 0 is the queue's own span.
func (s *Scheduler) HandleTickets(e RequestTickets, tickets []Ticket, valid time.Duration, sentAt time.Duration) {
	s.nextTicketRequest[e.Step] = s.clock.Steady + ticketRetryInterval
	if valid == 0 {
		if q := s.queueConfig(e.Queue); q != nil {
			valid = q.TicketValidity
		}
	}
	for _, k := range tickets {
		t := s.targets[k.Target]
		if t == nil {
			continue
		}
		if t.tickets == nil {
			t.tickets = map[StepName]ticket{}
		}
		t.tickets[e.Step] = ticket{text: k.Text, expiresAt: sentAt + valid - ticketMargin}
	}
}

// ticket returns the ticket for a step that is valid at a target.
func (t *target) validTicket(step StepName, now time.Duration) string {
	tk, found := t.tickets[step]
	if !found || now >= tk.expiresAt {
		delete(t.tickets, step)
		return ""
	}
	return tk.text
}
