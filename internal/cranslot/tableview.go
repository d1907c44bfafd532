package cranslot

// setView applies a view unless a later one was applied before.
func (t *table) setView(v View) {
	if v.epoch < t.view.epoch {
		return
	}
	t.view = v
	for _, g := range t.groups {
		g.instances = nil
	}
	seen := make(map[string]bool, len(v.instances))
	for _, iv := range v.instances {
		seen[iv.ID] = true
		t.setInstance(iv)
	}
	for id, in := range t.instances {
		if !seen[id] {
			t.dropInstance(in)
		}
	}
}

// setInstance applies what the view says about one instance.
func (t *table) setInstance(iv InstanceView) {
	in, ok := t.instances[iv.ID]
	if !ok {
		in = &instanceState{id: iv.ID}
		t.instances[iv.ID] = in
	}
	opened := iv.Open && !in.open
	in.group, in.open = iv.Group, iv.Open
	g := t.group(iv.Group)
	g.instances = append(g.instances, in)
	for len(in.slots) < len(iv.Homes) {
		in.slots = append(in.slots, slotState{})
	}
	for i := range in.slots {
		in.slots[i].home = homeAt(iv, i)
		t.settle(in, i)
	}
	if opened && in.idle > 0 {
		t.free(in)
	}
}

// homeAt returns the home of a slot, which is none for a slot that the view
// doesn't have.
func homeAt(iv InstanceView, index int) Home {
	if index < len(iv.Homes) {
		return iv.Homes[index]
	}
	return Home{}
}

// dropInstance takes an instance out of use that isn't in the view. Requests
// in progress on it end as they would have.
func (t *table) dropInstance(in *instanceState) {
	in.group, in.open = "", false
	for i := range in.slots {
		in.slots[i].home = Home{}
		t.settle(in, i)
	}
	t.forget(in)
}
