// Package admitter refuses on arrival what can't be accepted: limits, quotas, sizes that fit nowhere.
package admitter
