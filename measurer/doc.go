// Package measurer runs seeded workloads through the scheduling decisions in virtual time
// and reports waits, missed deadlines and the time of decisions.
//
// Run builds each load from the seed and runs it once with each policy: the placer, FIFO,
// and an oracle that knows the true run times. An engine drives one policy through one
// load: it applies the arrivals and ends that are due, executes the decisions, and counts
// the results in a tally. It stops at the horizon of the load and then counts the jobs due
// and missed.
//
// The jobs of a load hold the progress of a run, so that each run needs a fresh copy. An
// end of a run that is no longer the current run of its task is ignored. True run times
// are known only to the engine and the oracle; the placer learns them from tasks that
// succeeded. All of it runs on one goroutine.
package measurer
