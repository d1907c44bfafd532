package cranslot

import (
	"fmt"
	"testing"
)

func BenchmarkAcquireRelease(b *testing.B) {
	for _, instances := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(instances, "instances"), func(b *testing.B) {
			x := NewBroker("a")
			x.SetView(viewOf([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}, instances, 8))
			b.ReportAllocs()
			for b.Loop() {
				s, ok := x.TryAcquire("web", nil)
				if !ok {
					b.Fatal("no slot is idle")
				}
				x.Release(s)
			}
		})
	}
}

func BenchmarkSetView(b *testing.B) {
	for _, instances := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(instances, "instances"), func(b *testing.B) {
			v := viewOf([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}, instances, 8)
			x := NewBroker("a")
			b.ReportAllocs()
			for b.Loop() {
				x.SetView(v)
			}
		})
	}
}
