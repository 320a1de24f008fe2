// Command stand-3 plays the cases 11 to 15 of the review. It holds stand-ins of the
// platform's store, the executors and the clients, as the users' pages describe them, and
// starts the project's own entry VMs as separate processes.
//
//	stand-3 -case 11 -program target/filberthaven -record review/11/record.txt -trouble=true
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
