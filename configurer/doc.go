// Package configurer loads, checks, plans, applies and spreads the operators'
// declarations.
//
// A Document is everything declared, written as INI. A Revision is a Document as
// accepted, with its number, author and reason. A Copy is the revision in force on
// one entry VM, and a Writer changes the revision in the key-value service.
package configurer
