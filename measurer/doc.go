// Package measurer runs seeded workloads through the scheduling decisions in virtual time
// and reports waits, missed deadlines and the time of decisions.
package measurer
