// Package spooler writes log lines in the background, within bounds: a reader that
// does not read delays nobody, and no kind of line can crowd out the others. What is
// dropped is counted and told.
package spooler
