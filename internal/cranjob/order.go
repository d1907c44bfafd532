package cranjob

import "slices"

// InstanceOrder is the record of the orders to the platform for an instance. It is stored before an order is
// sent. Waves may overlap, so each has an order of its own.
type InstanceOrder struct {
	// Wave is the newest maintenance wave that ordered the instance out of service, and Confirmed is set once
	// the platform has confirmed that order. They repeat the last element of Waves for processes of earlier
	// versions, whose records have no Waves.
	Wave      int  `cbor:"1,keyasint,omitempty"`
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// Waves holds the orders of all waves that are not known to be done, the newest last. A wave has at most one.
	Waves []MaintenanceOrder `cbor:"6,keyasint,omitempty"`
	// Pool is the destination of the newest move. Moving is set while the move is
	// the newest order.
	Pool   string `cbor:"2,keyasint,omitempty"`
	Moving bool   `cbor:"5,keyasint,omitempty"`
	// DecidedMs is the time at which the scheduler decided on the newest order, in Unix
	// milliseconds. The order is sent later.
	DecidedMs int64 `cbor:"3,keyasint,omitempty"`
}

// MaintenanceOrder is the order of a wave to maintain an instance.
type MaintenanceOrder struct {
	_    struct{} `cbor:",toarray"`
	Wave int
	// Confirmed is set once the platform has confirmed that the maintenance for this wave has begun.
	Confirmed bool
}

// IsOfEarlierVersion reports whether the record was written by a version that kept the newest wave only. Its
// Confirmed may be due to the confirmation of another wave.
func (o *InstanceOrder) IsOfEarlierVersion() bool { return o.Wave != 0 && len(o.Waves) == 0 }

// Maintenance returns the orders of all waves, the newest last. The caller must not change them.
func (o *InstanceOrder) Maintenance() []MaintenanceOrder {
	if o.IsOfEarlierVersion() {
		return []MaintenanceOrder{{Wave: o.Wave, Confirmed: o.Confirmed}}
	}
	return o.Waves
}

// OfWave returns the order of a wave, and whether there is one.
func (o *InstanceOrder) OfWave(wave int) (MaintenanceOrder, bool) {
	orders := o.Maintenance()
	i := slices.IndexFunc(orders, func(m MaintenanceOrder) bool { return m.Wave == wave })
	if i < 0 {
		return MaintenanceOrder{}, false
	}
	return orders[i], true
}

// WithMaintenance returns a copy of the record in which a wave has a newer order than the others. It is not
// confirmed.
func (o InstanceOrder) WithMaintenance(wave int) InstanceOrder {
	others := o.WithoutWaves(func(other int) bool { return other == wave })
	return others.with(append(others.Waves, MaintenanceOrder{Wave: wave}))
}

// WithConfirmation returns a copy of the record in which the order of a wave, if there is one, is confirmed. Those
// of other waves stay as they are.
func (o InstanceOrder) WithConfirmation(wave int) InstanceOrder {
	orders := slices.Clone(o.Maintenance())
	for i := range orders {
		if orders[i].Wave == wave {
			orders[i].Confirmed = true
		}
	}
	return o.with(orders)
}

// WithoutWaves returns a copy of the record without the orders of the waves for which drop returns true.
func (o InstanceOrder) WithoutWaves(drop func(wave int) bool) InstanceOrder {
	return o.with(slices.DeleteFunc(slices.Clone(o.Maintenance()), func(m MaintenanceOrder) bool { return drop(m.Wave) }))
}

func (o InstanceOrder) with(orders []MaintenanceOrder) InstanceOrder {
	o.Waves, o.Wave, o.Confirmed = orders, 0, false
	if n := len(orders); n > 0 {
		o.Wave, o.Confirmed = orders[n-1].Wave, orders[n-1].Confirmed
	}
	return o
}
