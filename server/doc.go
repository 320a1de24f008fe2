// Package server implements an entry VM. It builds and connects the components, and
// starts and stops them.
package server
