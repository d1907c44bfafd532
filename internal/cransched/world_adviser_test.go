package cransched

import (
	"fmt"
	"time"
)

// simAdviser simulates the advice service, which handles the calls of a process one after the other. It handles a call
// also if its caller has given up.
type simAdviser struct {
	// decide and each are the time that a call takes, and what each named target adds.
	decide, each time.Duration
	// valid is how long a ticket is valid.
	valid time.Duration
	// busyUntil is the end of the last accepted call, and begins when each accepted call begins.
	busyUntil time.Duration
	begins    []time.Duration
	// silentUntil is until when calls are lost, refusesStep whether a step is always refused.
	silentUntil time.Duration
	refusesStep func(StepName) bool
	// expiresAt holds when each ticket expires.
	expiresAt map[string]time.Duration
	// slotsInUse counts the slots of the process for requests, waitingRequests are those that wait for one.
	slotsInUse      int
	waitingRequests []func() bool
	// answered, refused and abandoned count the calls.
	answered, refused, abandoned int
}

// maxWaitingCalls is the number of waiting calls above which the service refuses further ones.
const maxWaitingCalls = 32

func newSimAdviser(decide, each, valid time.Duration) *simAdviser {
	return &simAdviser{
		decide: decide, each: each, valid: valid, refusesStep: func(StepName) bool { return false }, expiresAt: map[string]time.Duration{},
	}
}

// accept queues a call and returns when it is answered, or false if it is refused.
func (a *simAdviser) accept(e RequestTickets, now time.Duration) (time.Duration, bool) {
	waiting := 0
	for _, begin := range a.begins {
		if begin > now {
			waiting++
		}
	}
	if waiting >= maxWaitingCalls || a.refusesStep(e.Step) {
		return 0, false
	}
	begin := max(now, a.busyUntil)
	a.begins = append(a.begins, begin)
	a.busyUntil = begin + a.decide + time.Duration(len(e.Targets))*a.each
	return a.busyUntil, true
}

// isValid reports whether a start carries a valid ticket.
func (a *simAdviser) isValid(e StartRun, now time.Duration) bool { return now < a.expiresAt[e.Ticket] }

// askAdviser sends a request to the advice service once the process has a slot for it.
func (sim *simulation) askAdviser(s *Scheduler, id int, e RequestTickets) {
	a, slots := sim.adviser, e.Slots
	a.waitingRequests = append(a.waitingRequests, func() bool {
		if a.slotsInUse+slots > TicketSlots {
			return false
		}
		a.slotsInUse += slots
		sim.sendToAdviser(s, id, e, func() { a.slotsInUse -= slots; a.sendWaiting() })
		return true
	})
	a.sendWaiting()
}

// sendWaiting sends the requests for which there are slots, in their order.
func (a *simAdviser) sendWaiting() {
	for len(a.waitingRequests) > 0 && a.waitingRequests[0]() {
		a.waitingRequests = a.waitingRequests[1:]
	}
}

// sendToAdviser sends a request to the advice service, which allows all targets.
func (sim *simulation) sendToAdviser(s *Scheduler, id int, e RequestTickets, completed func()) {
	const transit = 2 * time.Millisecond
	a, sent := sim.adviser, sim.now
	deliver := func(after time.Duration, handle func()) {
		sim.schedule(after, func() {
			completed()
			if sim.acts(id) {
				s.Advance(sim.clock())
				handle()
				sim.storeAndPerform(s, id)
			}
		})
	}
	unavailable := func() { s.HandleTicketsUnavailable(e) }
	if sent < a.silentUntil {
		deliver(e.Timeout, unavailable)
		return
	}
	at, accepted := a.accept(e, sent)
	switch {
	case !accepted:
		a.refused++
		deliver(transit, unavailable)
		return
	case at+transit-sent > e.Timeout:
		a.abandoned++
		deliver(e.Timeout, unavailable)
		return
	}
	a.answered++
	tickets := make([]Ticket, 0, len(e.Targets))
	for _, target := range e.Targets {
		text := fmt.Sprint(e.Step, target, a.answered)
		a.expiresAt[text] = at + a.valid
		tickets = append(tickets, Ticket{Target: target, Text: text})
	}
	deliver(at+transit-sent, func() { s.HandleTickets(e, tickets, a.valid, sent) })
}
