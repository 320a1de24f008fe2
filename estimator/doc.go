// Package estimator estimates the memory and the run time of tasks from finished
// tasks of the same team and job name.
//
// New returns an empty Estimator. ObserveRunTime and ObserveMemory add a finished
// task; RunTime and Memory return quantiles of recent ones. With too few runs of a
// name, RunTime corrects the declared run time by how far the team's declarations
// have been off. The least recently observed names are evicted.
package estimator
