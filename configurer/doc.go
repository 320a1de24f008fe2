// Package configurer loads, checks, plans, applies and replicates the operators'
// declarations.
//
// A Document holds all declarations and is written as INI. A Revision is an accepted
// Document with its number, author and reason. A Copy holds the revision in force on
// one entry VM, and a Writer changes the revision in the key-value service. A
// Replicator passes revisions between entry VMs. A Handler serves the operators' API,
// and a Client calls it.
//
// A change either applies files, as planned on the revision in force, or is a direct
// command, such as drain or withdraw, that edits the newest document.
//
// Hardest rules:
//   - The number of the revision in force only grows on each entry VM, even if the
//     key-value service returns an older one.
//   - A revision is archived before it is replaced, and the replacing write names the
//     version of the live key. A write without a response may thus be repeated, and the
//     live key or the history tells whether it took effect.
//   - Applying files keeps keys withdrawn, VMs out of service and, unless the files declare
//     them, the states of data centres. It removes granted keys and exceptions that the
//     files lack.
package configurer
