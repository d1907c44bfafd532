// Package cranpack compresses what travels through the log or between
// entries and repeats itself a lot: printed configurations and snapshots.
package cranpack
