package measurer

import (
	"time"

	"filberthaven.example/placer"
)

// Kinds of jobs in the workloads.
var (
	services  = jobKind{class: placer.Service, name: "service", nameCount: 5, maxTasks: 8, cpu: [2]int64{500, 2000}, memory: [2]int64{1 << 10, 4 << 10}, meanRunTime: time.Hour}
	confirms  = jobKind{class: placer.Urgent, name: "confirm", nameCount: 3, maxTasks: 1, cpu: [2]int64{500, 1000}, memory: [2]int64{256, 1 << 10}, meanRunTime: 2 * time.Second, deadline: time.Minute}
	rebuilds  = jobKind{class: placer.Deferred, name: "rebuild", nameCount: 8, maxTasks: 12, cpu: [2]int64{1000, 4000}, memory: [2]int64{2 << 10, 12 << 10}, meanRunTime: 4 * time.Minute, deadline: 90 * time.Minute}
	tariffs   = jobKind{class: placer.Deferred, name: "tariff", nameCount: 8, maxTasks: 4, cpu: [2]int64{500, 2000}, memory: [2]int64{1 << 10, 6 << 10}, meanRunTime: time.Minute, deadline: 30 * time.Minute}
	seasons   = jobKind{class: placer.Deferred, name: "season", nameCount: 3, maxTasks: 8, cpu: [2]int64{2000, 4000}, memory: [2]int64{4 << 10, 8 << 10}, meanRunTime: 5 * time.Minute, deadline: 2 * time.Hour, gang: true}
	routes    = jobKind{class: placer.Deferred, name: "route", nameCount: 12, maxTasks: 20, cpu: [2]int64{1000, 8000}, memory: [2]int64{1 << 10, 16 << 10}, meanRunTime: 6 * time.Minute, deadline: 3 * time.Hour}
	reminders = jobKind{class: placer.BestEffort, name: "reminder", nameCount: 6, maxTasks: 10, cpu: [2]int64{250, 1000}, memory: [2]int64{256, 2 << 10}, meanRunTime: 30 * time.Second}
)

// essiccatoi is a harvest evening of three hours with a peak of rebuilds from 30 to 90
// minutes.
func essiccatoi(seed uint64) *load {
	b := newLoadBuilder("essiccatoi", seed, 3*time.Hour)
	b.addWorkers(50, placer.NewResources(16_000, 64<<10, 0))
	b.addTeams(6)
	b.addJobs(services, 0.2, 0, time.Minute)
	b.addJobs(confirms, 0.005, 0, 150*time.Minute)
	b.addJobs(rebuilds, 0.35, 0, 2*time.Hour)
	b.addJobs(rebuilds, 0.40, 30*time.Minute, 90*time.Minute)
	b.addJobs(tariffs, 0.10, 0, 2*time.Hour)
	b.addJobs(seasons, 0.05, 0, time.Hour)
	b.addJobs(reminders, 0.20, 0, 3*time.Hour)
	return b.load
}

// lychnos is an evening of five hours. Route planning for 2.5 hours of the whole fleet
// arrives in the first hour, at closing, and is due three hours after arrival.
func lychnos(seed uint64) *load {
	b := newLoadBuilder("lychnos", seed, 5*time.Hour)
	b.addWorkers(50, placer.NewResources(32_000, 64<<10, 0))
	b.addTeams(6)
	b.addJobs(services, 0.05, 0, time.Minute)
	b.addJobs(confirms, 0.005, 0, 30*time.Minute)
	b.addJobs(routes, 2.5, 0, time.Hour)
	b.addJobs(seasons, 0.2, 0, time.Hour)
	b.addJobs(reminders, 0.10, 0, 5*time.Hour)
	return b.load
}

// shortTasks are the jobs whose tasks make up the peak of starts at the fleet size expected
// in two years.
var shortTasks = jobKind{class: placer.Deferred, name: "brisk", nameCount: 4, maxTasks: 6, cpu: [2]int64{500, 1000}, memory: [2]int64{512, 2 << 10}, meanRunTime: 23 * time.Second, deadline: 10 * time.Minute}

// twoyear is 90 seconds of the peak at the fleet size expected in two years.
func twoyear(seed uint64) *load {
	b := newLoadBuilder("twoyear", seed, 90*time.Second)
	b.addWorkers(1200, placer.NewResources(16_000, 64<<10, 0))
	b.addWorkers(1200, placer.NewResources(32_000, 64<<10, 0))
	b.addTeams(590)
	b.addJobs(services, 0.235, 0, time.Second)
	b.addJobs(confirms, 0.002, 0, 90*time.Second)
	b.addJobs(shortTasks, 0.57, 0, 90*time.Second)
	return b.load
}
