// Package cransoak runs the real program as separate processes on one machine
// and injects faults from outside: connections that a loopback proxy delays,
// resets, cuts or silences, processes that signals stop, pause, kill and
// restart, a store that refuses, loses answers or drops its history, and new
// configurations in between. It checks what callers were told against what
// targets saw. All choices follow from a seed.
package cransoak
