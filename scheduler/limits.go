package scheduler

import "filberthaven.example/placer"

// Limits enforces the teams' upper limits over all shards. All fields are required.
// Amounts are thousandths of a processor.
type Limits struct {
	// Allow reports whether the tasks that are about to start may do so. running is what
	// the team uses in this shard including these tasks; wanted is what its pending tasks
	// need on top. After false none of these tasks may start.
	Allow func(team string, running, wanted int64) bool
	// Report stores the usage of tasks that run already, whatever the limit.
	Report func(team string, running, wanted int64)
	// Excess returns how much of the team's usage exceeds its limit since that was
	// lowered. The scheduler stops tasks that use this much in total.
	Excess func(team string) int64
}

// noLimits returns limits that allow every start.
func noLimits() Limits {
	return Limits{
		Allow:  func(string, int64, int64) bool { return true },
		Report: func(string, int64, int64) {},
		Excess: func(string) int64 { return 0 },
	}
}

// teamOf returns the team of a decision's task, empty when the task is unknown.
func (s *Scheduler) teamOf(d placer.Decision) string {
	j, t := s.state.taskOf(d.Task())
	if t == nil {
		return ""
	}
	return j.spec.Team()
}

// overLimit returns, for each team with starts among the decisions, whether its limit
// forbids them, as while part of its quota moves to another shard.
func (s *Scheduler) overLimit(decisions []placer.Decision) map[string]bool {
	starting := map[string]int64{}
	for _, d := range decisions {
		if j, t := s.state.taskOf(d.Task()); t != nil && d.Kind() == placer.Start {
			starting[j.spec.Team()] += j.spec.Size().CPU()
		}
	}
	over := make(map[string]bool, len(starting))
	unfenced := s.unfencedCPU()
	for name, cpu := range starting {
		team := s.placer.Team(name)
		running, wanted := team.Used().CPU()+unfenced, team.Demand().CPU()
		s.limits.Report(name, running-cpu, wanted+cpu)
		over[name] = !s.limits.Allow(name, running, wanted)
	}
	return over
}

// revertPlacement undoes the placement of a task that was not started, and updates the
// team's quota in the placer.
func (s *Scheduler) revertPlacement(d placer.Decision) {
	s.logger.Info("Start reverted.", "shard", s.shard, "task", d.Task().String(), "worker", d.Worker(), "reason", "quota has moved to another shard")
	s.logPlacerError(s.placer.Unplace(d.Task()))
	s.updateTeam(s.teamOf(d), s.unfencedCPU())
}

// refreshQuotas passes changed quotas of teams with pending tasks to the placer, and
// reports the demand of those teams whose quota is too small for it.
func (s *Scheduler) refreshQuotas() {
	unfenced := s.unfencedCPU()
	for _, team := range s.placer.Teams() {
		if team.Demand().CPU() == 0 {
			continue
		}
		if quota := s.effectiveQuota(team.Name(), unfenced); quota != team.Quota() {
			s.updateTeam(team.Name(), unfenced)
			s.wake()
		}
		if team.Quota() >= 0 && team.Used().CPU()+team.Demand().CPU() > team.Quota() {
			s.limits.Allow(team.Name(), team.Used().CPU()+unfenced, team.Demand().CPU())
		}
	}
}

// effectiveQuota returns the team's quota less what unknown runs may use, in thousandths
// of a processor; negative when there is no limit. It is at least what the team uses,
// less the excess over a lowered limit: only lowering the limit stops tasks, not moving
// quota to another shard.
func (s *Scheduler) effectiveQuota(team string, unfenced int64) int64 {
	quota := s.quota(team)
	if quota < 0 {
		return quota
	}
	floor := s.placer.Team(team).Used().CPU() - s.limits.Excess(team)
	return max(0, quota-unfenced, floor)
}
