// Package estimator learns sizes and run times from finished tasks.
package estimator
