// Package emulator provides fakes of the platform, workers and executors for tests, with
// faults that can be switched on and off.
package emulator
