// Package conductor runs the fleet while its entry VM is the owner. It passes the
// updates of callers, operators and workers to the planner, writes the planner's
// state changes to the journal, and carries out the planner's actions.
//
// A Conductor lives for one ownership only. The next owner starts from the journal
// and from the runs that the workers report.
package conductor
