// Package emulator holds small stand-ins for the platform, workers and executors, with faults to switch on.
package emulator
