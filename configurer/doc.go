// Package configurer loads, checks, plans, applies and spreads the operators' declarations.
package configurer
