// Package crannode runs an entry instance of the job service.
//
// All entry instances are equal. Each one reads the records in the store and keeps a
// replica of the state of all jobs in memory, so that each can accept and cancel jobs
// and report their states. One of them, the owner, also schedules: the entry instance whose
// claim is the newest in the store. A claim carries an epoch, which fences the appends
// and orders of earlier owners. The owner renews its claim periodically. When renewals
// stop arriving, or the owner marks its claim as released, another entry instance claims
// the next epoch. All claims of one epoch carry the same sequence number, and the store
// accepts only the first of them.
//
// The records of callers and those of the scheduler are in two values of type
// cranstore.Topic, because each processes its appends one after the other. In the
// platform's store they are two partitions of one topic. A new owner first reads its own claim
// back, and then every submission that the store holds by that time.
//
// One goroutine, the control goroutine, changes the state: the replica, the claim and the
// scheduler. Requests of callers read the replica under a lock. Every call to the store, a
// target or the platform runs in a goroutine of its own.
package crannode
