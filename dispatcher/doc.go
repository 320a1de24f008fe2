// Package dispatcher sends orders to workers under terms and leases.
package dispatcher
