// Package authenticator checks keys and roles, and loads certificates.
package authenticator
