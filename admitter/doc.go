// Package admitter implements admission control: it refuses on arrival requests
// over a limit, and jobs that can never run or can't meet their deadline.
package admitter
