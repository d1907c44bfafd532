// Package cranclaim makes a request run at most once, whichever entry it
// comes to and however often.
//
// Before an entry sends a request that is not idempotent, it appends a claim
// for the request's key to a stream of the platform's log. The first claim in
// log order that was not released is granted; all others are lost. Every entry
// reads the stream and applies the same [Index], so all agree on the grant.
//
// A claimer learns of its grant by reading the claim back, and may use it only
// until a deadline that counts from before the append. A claimer that was
// paused finds the deadline over and releases the claim. A release says that
// its claimer has not run the request and never will, so that a later claim
// may be granted. A claim whose claimer died is never released: whether the
// request ran is unknown, and nobody else runs it.
//
// The index holds a claim for a window of log time, judged by the platform's
// stamps alone; a key that is used again later counts as new. A claim names
// the platform's time that its claimer knew when it sent it, and is void when
// it reaches the log much later, so that a late repeat can't revive a claim
// that readers have forgotten.
//
// A newcomer reads the stream from the oldest record kept. What it can't know
// for sure, since records before that have expired, it holds as uncertain: it
// refuses such keys and grants nothing to itself, until the records it has
// read cover a whole window.
package cranclaim
