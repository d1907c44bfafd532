// Package cranwavesim measures maintenance waves in virtual time: the real
// policy proposes stops, the real reducer decides on them, and a seeded
// generator says how long drains and reboots take. There is no network and no
// platform: records are applied in the order in which they are made.
//
// The makespan is the time from the start of the waves to the end of the last
// one. It stands beside a lower bound: a pool whose budget lets k instances be
// away needs at least its instances over k cycles, and a wave that stops at
// most k at once needs at least its instances over k cycles, where a cycle is
// the mean of drain, reboot and return.
package cranwavesim
