//go:build !race

package main_test

const raceEnabled = false
