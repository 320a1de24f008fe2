// Package admitter implements admission control of urgent requests and of jobs.
//
// An Admitter bounds the urgent requests that run and wait on one entry VM, from
// New until the process ends. A request that would wait too long is refused on
// arrival. Waiting requests are started by weighted fair queueing between teams.
// When the queue is full, a request of the team with the largest backlog for its
// weight makes place for one of a team with a smaller backlog.
//
// CheckJob refuses jobs that can never run or can't meet their deadline.
package admitter
