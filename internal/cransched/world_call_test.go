package cransched

import "time"

// afterQueue performs an action once the owner has handled what arrived before.
func (sim *simulation) afterQueue(perform func()) {
	if sim.handlingTime == 0 {
		perform()
		return
	}
	sim.busyUntil = max(sim.busyUntil, sim.now) + sim.handlingTime
	sim.schedule(sim.busyUntil-sim.now, perform)
}

// call performs a call to a target, subject to the simulated faults.
func (sim *simulation) call(s *Scheduler, id int, to TargetRef, order bool, perform func() Response, onResponse func(Response)) {
	sent := sim.now
	handle := func(resp Response) {
		sim.whenRunning(func() {
			if sim.acts(id) {
				resp.SentAt = sent
				s.Advance(sim.clock())
				onResponse(resp)
				sim.storeAndPerform(s, id)
			}
		})
	}
	reply := func(resp Response) {
		sim.afterQueue(func() {
			if sim.now-sent > callTimeout {
				resp = Response{}
			}
			handle(resp)
		})
	}
	timeout := func() { sim.schedule(callTimeout, func() { reply(Response{}) }) }
	p := sim.random.Float64()
	switch {
	case sim.now < sim.mayOrderFrom:
		sim.schedule(time.Millisecond, func() { reply(Response{}) })
	case sim.now < sim.cutOffUntil[id][to.ID]:
		timeout()
	case p < sim.lossRate:
		timeout()
	case p < sim.lossRate+sim.noResponseRate:
		sim.schedule(2*time.Millisecond, func() { perform() })
		timeout()
	case order && p < sim.lossRate+sim.noResponseRate+sim.delayRate:
		// The order is queued in the target's process and lost when the process ends.
		process := sim.targets[to.ID]
		sim.schedule(time.Duration(2000+sim.random.IntN(10000))*time.Millisecond, func() {
			if sim.targets[to.ID] == process {
				perform()
			}
		})
		timeout()
	default:
		sim.schedule(sim.transit+time.Duration(1+sim.random.IntN(4))*time.Millisecond, func() {
			resp := perform()
			sim.schedule(time.Duration(1+sim.random.IntN(4))*time.Millisecond, func() { reply(resp) })
		})
	}
}

// order performs an order about an instance and returns the result to the owner.
func (sim *simulation) order(s *Scheduler, id int, perform func() CallStatus, onResult func(CallStatus)) {
	isLost, delay := sim.platformDown || id != sim.ownerID, 5*time.Millisecond+sim.orderDelay
	isSilent := false
	if sim.orderLossRate+sim.orderSilenceRate > 0 {
		p := sim.random.Float64()
		isLost = isLost || p < sim.orderLossRate
		isSilent = !isLost && p < sim.orderLossRate+sim.orderSilenceRate
	}
	if isSilent {
		sim.schedule(delay, func() { perform() })
	}
	if isLost || isSilent {
		delay = callTimeout
	}
	sim.schedule(delay, func() {
		result := StatusUnanswered
		if !isLost && !isSilent {
			result = perform()
		}
		if id == sim.ownerID {
			s.Advance(sim.clock())
			onResult(result)
			sim.storeAndPerform(s, id)
		}
	})
}
