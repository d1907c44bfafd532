// Package cranevent defines the numbered events that the system logs.
//
// An Event is a number that stands for one thing that can happen. Its
// Definition gives the name, the level, the text and the fields that go with
// it. A number means the same for good: a retired one is never used again.
// The page docs/events.md says what each event means and what an operator
// does about it.
//
// A Field is a typed value with a fixed key, made by a constructor such as
// Instance or Offset. A Logger writes one line an event, as JSON or in a form
// for a console; its Emit method may be called from any goroutine.
package cranevent
