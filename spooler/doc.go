// Package spooler writes log lines in the background, with limits on memory and rate. A
// blocked reader of the log delays no caller, and a message that is logged too often
// does not crowd out the others. Dropped lines are counted and reported in the log.
package spooler
