// Package cranclaim makes a request run at most once, however often it is sent
// and whichever entry receives it. An entry is a process that forwards callers'
// requests to targets.
//
// Before an entry runs a request that is not idempotent, it appends a claim for
// the request's key to a stream of the platform's log. The first claim of a key
// in log order is granted, and so is the first one after a release; all other
// claims are lost. Every entry reads the stream and applies the same [Index],
// so all entries agree on the grant.
//
// A claimer learns of its grant by reading its claim back. It may use the grant
// only until a deadline, which is counted from before the append. A claimer
// that was paused beyond the deadline releases the claim. A release states that
// the claimer has not run the request and never will, so that a later claim can
// be granted. The claim of a claimer that died is never released: whether the
// request ran is unknown, and no other entry runs it.
//
// The index holds a claim for a window of log time, which is measured by the
// platform's timestamps alone. A key that is used again after the window counts
// as new. A claim carries the platform time that its claimer knew on sending
// it. A claim that is appended much later than that is void, so that a delayed
// duplicate can't restore a claim that has expired at the readers.
//
// A claimer that starts reads the stream from the oldest record kept. Records
// before that may have expired, so it can't know for every key whether the key
// is held. It marks such keys as uncertain, refuses them and grants nothing,
// until the records that it has read cover a whole window.
package cranclaim
