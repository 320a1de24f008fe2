// Package server runs one entry VM: it puts the parts together, starts and stops them.
package server
