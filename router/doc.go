// Package router serves the callers' HTTP API for jobs and forwards urgent
// requests to executors. A Router is an http.Handler; the parts of the system
// that it depends on are passed to it as functions. It serves from New on;
// Drain makes /readyz fail, and Shutdown waits until the last request has ended.
//
// An urgent request needs a slot of an executor. Without one it is forwarded to
// an entry VM of another data centre, which does not forward it again. After a
// failure the request is sent again only if no byte of it was sent or if it is
// idempotent, and within the retry budget. The id of a request that is not
// idempotent is claimed before the request is sent, so that a repeated id is
// refused. Each response names the Outcome; NotRun promises that the request
// can't take effect later.
package router
