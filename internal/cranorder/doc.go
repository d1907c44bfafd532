// Package cranorder decides which jobs of a pool are to be served in time while the pool is too
// small for all of them.
//
// Serving the job with the least slack first is best as long as every job can be in time. In an
// overload it is the worst order: each job begins when it is about to be late, and nearly all of
// them are. [Select] therefore gives up as few jobs as it can, so that the others are in time. A job
// that is given up is not dropped: it gets the room that the others leave.
//
// The package is pure. Times are in milliseconds from now, work is in seconds of a whole instance.
package cranorder
