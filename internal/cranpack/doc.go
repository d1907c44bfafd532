// Package cranpack compresses redundant data that is sent through the log or between
// entry instances, namely encoded configurations and snapshots.
package cranpack
