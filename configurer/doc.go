// Package configurer loads, checks, plans, applies and replicates the operators'
// declarations.
//
// A Document holds all declarations and is written as INI. A Revision is an accepted
// Document with its number, author and reason. A Copy holds the revision in force on
// one entry VM, and a Writer changes the revision in the key-value service. A
// Replicator passes revisions between entry VMs. A Handler serves the operators' API,
// and a Client calls it.
package configurer
