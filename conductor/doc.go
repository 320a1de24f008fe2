// Package conductor runs the fleet while its entry VM is the owner: it feeds the
// planner with what callers, operators and workers say, keeps the planner's
// changes in the journal, and carries out its actions.
//
// Nothing of it outlasts an ownership; the next owner begins from the journal
// and from what the workers list.
package conductor
