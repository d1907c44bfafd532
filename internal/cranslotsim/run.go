package cranslotsim

// Run simulates one scheme with the given settings. It returns a fault of the kind
// cranfault.Invalid if the settings are invalid.
func Run(s Settings) (Result, error) {
	if err := s.validate(); err != nil {
		return Result{}, err
	}
	f := newFleet(s)
	sc := newScheme(f)
	sc.start()
	list := jobs(s)
	f.result.Requests = len(list)
	for _, j := range list {
		for f.RunNextUntil(j.arrival) {
			continue
		}
		f.AdvanceTo(j.arrival)
		sc.arrive(j)
	}
	for f.result.Started < len(list) && f.RunNextUntil(s.Duration+drainTime) {
		continue
	}
	f.result.summariseWaits()
	return f.result, nil
}

func newScheme(f *fleet) scheme {
	switch f.settings.Scheme {
	case Pooled:
		return newPooled(f)
	case Choices:
		return newChoices(f)
	default:
		return newBrokered(f)
	}
}
