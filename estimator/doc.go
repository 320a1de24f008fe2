// Package estimator estimates the memory and the run time of tasks from finished
// tasks of the same team and job name.
//
// New returns an empty Estimator. ObserveRunTime and ObserveMemory add a finished
// task; RunTime and Memory return quantiles of recent ones. With too few runs of a
// name, RunTime corrects the declared run time by how far the team's declarations
// have been off. The least recently observed names are evicted.
//
// RunTimes, which NewRunTimes returns, forecasts run times from the declared ones where
// jobs have no names: Observe adds a finished task, and Expect returns a Forecast for a task
// that waits or runs. Encode and DecodeRunTimes keep what is known over a takeover.
package estimator
