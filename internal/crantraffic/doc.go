// Package crantraffic carries callers' requests to targets.
//
// A Proxy serves callers over HTTP. It looks the service of a request up in
// its View, acquires a slot of an instance in the service's pool, sends the
// request to that instance and passes the answer on. The View is immutable
// and published by the control thread through SetView; the traffic threads
// only read it.
//
// Every request ends in one of three outcomes:
//
//   - answered: the target's whole answer, status and body as they are;
//   - notRun: the request was not run and never will be;
//   - unknown: the request may have run, or may still be running.
//
// An exchange is one attempt to send one request over one connection. Its
// first write to the connection passes a guard, which asks mayServe, the
// view and the claim for the last time. An exchange that is sealed before its
// first write can never write; so notRun rests on what was written and not on
// what an error seems to mean.
//
// A non-idempotent request is sent only under a claim for its key, and over a
// connection that no earlier request has used. An idempotent request may be
// retried within a retry budget.
//
// A slot is released when its exchange has ended. If the connection was lost
// after the first write the target may still be running the request, and the
// slot is held until the route's maximum duration has passed.
package crantraffic
