// Package estimator estimates the memory and the run time of tasks from finished
// ones.
package estimator
