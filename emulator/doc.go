// Package emulator provides fakes of the platform, workers and executors for tests, with
// faults that can be switched on and off.
//
//   - Store is the platform's key-value service in memory. Each Client of it has its own
//     faults and counts; Platform serves a store over HTTP, together with a list of VMs.
//   - Worker runs tasks as timers. It lives until Kill, and Restart starts a new
//     incarnation, in which the timers and guards of earlier ones have no effect. All
//     workers of a test share an InvariantChecker.
//   - Executor serves the requests of a service and counts those beyond its limits.
//
// A call with an unknown outcome may have taken effect, or may take effect later: a write
// that its caller gave up on is applied after the delay, and a batch to a paused worker is
// delivered when the worker resumes.
//
// The store's lock guards its clients as well. A worker calls the InvariantChecker with
// its own lock held, and a dispatcher.Guard calls the worker with the lock of the guard
// held. A guard is therefore never closed while the worker's lock is held.
package emulator
