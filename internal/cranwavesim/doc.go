// Package cranwavesim measures maintenance waves in virtual time. The real policy proposes
// stops, the real reducer accepts or refuses them, and a seeded random generator determines how
// long drains and reboots take. There is no network and no platform: events are applied in
// the order in which they are created.
//
// The makespan is the time from the start of the waves to the end of the last one. It is
// compared with a lower bound. A pool of n instances whose budget allows k unavailable
// instances needs at least n/k cycles. A wave over n instances that stops at most k at once
// also needs at least n/k cycles. A cycle is the mean time of drain, reboot and return to
// service.
package cranwavesim
