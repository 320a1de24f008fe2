// Package spooler writes log lines in the background, with limits on memory and rate. A
// blocked reader of the log delays no caller, and a message that is logged too often
// does not crowd out the others. Dropped lines are counted and reported in the log.
//
// New starts the goroutine that writes; Close ends it after the last line. A logger uses a
// Spooler as its Output and Exclude. Exclude drops a line if its message exceeds the rate,
// and Write drops it if the buffer is full. Warnings and errors pass the rate limit, but
// are dropped as well if the buffer is full. One lock guards the buffer, another one the
// rate limits; neither is held while a line is written.
package spooler
