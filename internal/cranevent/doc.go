// Package cranevent defines the numbered events that the system logs.
//
// An Event is a number that identifies one kind of occurrence. Its Definition
// gives the name, the level, the text and the fields that go with it. A number
// never changes its meaning, and a retired number is never used again. The page
// docs/events.md explains each event and how an operator responds to it.
//
// A Field is a typed value with a fixed key, made by a constructor such as
// Instance or Offset. A Logger writes one line per event, as JSON or in a format
// for a console; its Emit method is safe for concurrent use.
package cranevent
