// Package authenticator authenticates requests by keys with roles, and loads and issues
// TLS certificates.
package authenticator
