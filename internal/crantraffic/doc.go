// Package crantraffic is the HTTP proxy that forwards callers' requests to
// targets. Each entry instance, called an entry here, runs one proxy.
//
// A Proxy accepts requests from callers. It looks up the service of a request
// in its View, acquires a slot of an instance in the service's pool, sends the
// request to that instance and returns the answer. In this package a pool is
// also called a group. The control goroutine publishes the View through SetView.
// A View is immutable; the goroutines that serve requests only read it.
//
// Every request ends in one of three outcomes:
//
//   - answered: the caller gets the target's complete answer with its status
//     and body unchanged;
//   - notRun: the request has not run and will not run;
//   - unknown: the request may have run, or may still be running.
//
// An exchange is one attempt to send one request over one connection. Before
// its first write to the connection, a guard checks once more whether this
// entry may start work, whether the view still allows the instance, and whether
// the claim is still usable. An exchange that is sealed before its first write
// can never write. The outcome notRun therefore depends on what was written,
// and never on the interpretation of an error.
//
// A non-idempotent request is sent only under a claim for its key, and only
// over a new connection. An idempotent request may be retried within a retry
// budget.
//
// A slot is released when its exchange has ended, or somewhat later if the
// target failed fast. If the connection is lost after the first write, the
// target may still be running the request. The slot is then held until the
// route's maximum duration has passed.
package crantraffic
