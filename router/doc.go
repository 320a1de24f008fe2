// Package router serves the callers' HTTP API for jobs and forwards urgent
// requests to executors. A Router is an http.Handler; the parts of the system
// that it depends on are passed to it as functions.
package router
