package measurer

import (
	"time"

	"filberthaven.example/placer"
)

// The kinds of jobs of the workloads.
var (
	services  = kind{class: placer.Service, name: "service", names: 5, tasks: 8, size: [2]int64{500, 2000}, memory: [2]int64{1 << 10, 4 << 10}, run: time.Hour}
	confirms  = kind{class: placer.Urgent, name: "confirm", names: 3, tasks: 1, size: [2]int64{500, 1000}, memory: [2]int64{256, 1 << 10}, run: 2 * time.Second, deadline: time.Minute}
	rebuilds  = kind{class: placer.Deferred, name: "rebuild", names: 8, tasks: 12, size: [2]int64{1000, 4000}, memory: [2]int64{2 << 10, 12 << 10}, run: 4 * time.Minute, deadline: 90 * time.Minute}
	tariffs   = kind{class: placer.Deferred, name: "tariff", names: 8, tasks: 4, size: [2]int64{500, 2000}, memory: [2]int64{1 << 10, 6 << 10}, run: time.Minute, deadline: 30 * time.Minute}
	seasons   = kind{class: placer.Deferred, name: "season", names: 3, tasks: 8, size: [2]int64{2000, 4000}, memory: [2]int64{4 << 10, 8 << 10}, run: 5 * time.Minute, deadline: 2 * time.Hour, gang: true}
	routes    = kind{class: placer.Deferred, name: "route", names: 12, tasks: 20, size: [2]int64{1000, 8000}, memory: [2]int64{1 << 10, 16 << 10}, run: 6 * time.Minute, deadline: 3 * time.Hour}
	reminders = kind{class: placer.BestEffort, name: "reminder", names: 6, tasks: 10, size: [2]int64{250, 1000}, memory: [2]int64{256, 2 << 10}, run: 30 * time.Second}
)

// essiccatoi is a harvest evening: crowded, with a peak in the middle.
func essiccatoi(seed uint64) *load {
	m := newMaker("essiccatoi", seed, 3*time.Hour)
	m.addWorkers(50, placer.NewResources(16_000, 64<<10, 0))
	m.addTeams(6)
	m.fill(services, 0.2, 0, time.Minute)
	m.fill(confirms, 0.005, 0, 150*time.Minute)
	m.fill(rebuilds, 0.35, 0, 2*time.Hour)
	m.fill(rebuilds, 0.40, 30*time.Minute, 90*time.Minute)
	m.fill(tariffs, 0.10, 0, 2*time.Hour)
	m.fill(seasons, 0.05, 0, time.Hour)
	m.fill(reminders, 0.20, 0, 3*time.Hour)
	return m.load
}

// lychnos is an evening: route planning arrives at closing, due before dawn.
func lychnos(seed uint64) *load {
	m := newMaker("lychnos", seed, 5*time.Hour)
	m.addWorkers(50, placer.NewResources(32_000, 64<<10, 0))
	m.addTeams(6)
	m.fill(services, 0.05, 0, time.Minute)
	m.fill(confirms, 0.005, 0, 30*time.Minute)
	m.fill(routes, 2.5, 0, time.Hour)
	m.fill(seasons, 0.2, 0, time.Hour)
	m.fill(reminders, 0.10, 0, 5*time.Hour)
	return m.load
}

// brisk are the short tasks that make the peak of starts at the two-year size.
var brisk = kind{class: placer.Deferred, name: "brisk", names: 4, tasks: 6, size: [2]int64{500, 1000}, memory: [2]int64{512, 2 << 10}, run: 23 * time.Second, deadline: 10 * time.Minute}

// twoyear is a minute and a half at the peak of the two-year size.
func twoyear(seed uint64) *load {
	m := newMaker("twoyear", seed, 90*time.Second)
	m.addWorkers(1200, placer.NewResources(16_000, 64<<10, 0))
	m.addWorkers(1200, placer.NewResources(32_000, 64<<10, 0))
	m.addTeams(590)
	m.fill(services, 0.235, 0, time.Second)
	m.fill(confirms, 0.002, 0, 90*time.Second)
	m.fill(brisk, 0.57, 0, 90*time.Second)
	return m.load
}
