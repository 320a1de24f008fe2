// Command stand2 plays the cases of the second review: it starts entry VMs with the
// command of the deploy file, and stands in for the platform's store, the executors and
// the clients, as the users' pages describe them.
//
//	stand2 CASE RECORD
//
// It runs in the root of the repository and writes what was sent, answered and run to the
// file RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.
package main
