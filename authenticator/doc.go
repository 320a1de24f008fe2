// Package authenticator authenticates requests by keys with roles, and loads and issues
// TLS certificates.
//
// An Authenticator has no state to start or stop: New returns it ready for use, and it
// looks up each key in the configuration in force. A request is refused before its key is
// looked up if its source has sent too many wrong keys; all failures of a key return the
// same ErrBadKey, so that a caller doesn't learn which part was wrong. Only hashes of
// secrets are stored, and they are compared in constant time.
//
// Certificates are loaded by NewCertificates and reloaded by Watch until its context ends.
// New connections use the files as last loaded; invalid files leave the previous ones in
// force.
package authenticator
