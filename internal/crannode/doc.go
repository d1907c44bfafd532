// Package crannode is an entry instance of the job service.
//
// All entry instances are alike. Each follows the records of the store and
// keeps a book of all jobs, so each can accept, cancel and answer. One of
// them also schedules: the one whose claim is the newest in the store. A claim
// carries an epoch that fences the appends and the orders of earlier owners.
// Every entry instance watches for the owner's claims to be renewed; when they
// stay away, or the owner vacates, it claims the next epoch itself. Claims of one
// epoch bear the same sequence number, of which the store takes the first.
//
// What callers ask for and what the scheduler stores lie in two topics, since a
// topic takes its appends in turn. A new owner reads its own claim first, and
// then every submission that the store holds by then.
//
// One goroutine holds the control state: the book, the claim and the
// scheduler. Requests of callers read the book under a lock, and every call
// to the store, a target or the platform runs in a goroutine of its own.
package crannode
