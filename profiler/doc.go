// Package profiler learns how fast workers are from the run times of equal tasks.
//
// New returns a Profiler. Observe adds a finished run to the Group of its step, and Compare
// compares the runs of a group with each other once all have ended. Each of them changes the
// Worker that it was on. Classify then tells which workers are fast or slow. Factor and Class
// of a Worker return what is known of it.
//
// The zero values of Group and Worker are ready for use. The caller drops a Worker with
// the incarnation that it describes. A Profiler reads no clock and isn't safe for concurrent use.
//
// The main rules are:
//   - Only runs of one group are compared, and only after the slowest one has ended. The
//     first ones to end are fast by chance, so that comparing these alone favours them.
//   - No difference between two runs counts for more than a factor of e, so that stragglers
//     weigh little.
//   - All workers are of the Usual class until their factors predict the runs that follow
//     better than chance does. One worker that is far slower than all others is the exception.
package profiler
