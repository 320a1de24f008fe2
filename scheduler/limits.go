package scheduler

import "filberthaven.example/placer"

// Limits keeps the teams' upper limits over all shards. All fields are set. Amounts
// are thousandths of processors.
type Limits struct {
	// Allow tells what a team uses here with what is about to start, and what it would
	// use more if it could. When it returns false nothing more may start.
	Allow func(team string, running, wanted int64) bool
	// Report tells the same of what runs already, whatever the limit.
	Report func(team string, running, wanted int64)
	// Excess returns how much runs above a limit that was lowered, which has to end.
	Excess func(team string) int64
}

// noLimits returns limits that let everything start.
func noLimits() Limits {
	return Limits{
		Allow:  func(string, int64, int64) bool { return true },
		Report: func(string, int64, int64) {},
		Excess: func(string) int64 { return 0 },
	}
}

// teamOf returns the team of a decision's task, empty when the task is unknown.
func (s *Scheduler) teamOf(d placer.Decision) string {
	j, t := s.book.taskOf(d.Task())
	if t == nil {
		return ""
	}
	return j.spec.Team()
}

// overLimit tells the limits what is about to start, and returns the teams of
// which nothing more may start: a part of their limit goes to another shard.
func (s *Scheduler) overLimit(decisions []placer.Decision) map[string]bool {
	starting := map[string]int64{}
	for _, d := range decisions {
		if j, t := s.book.taskOf(d.Task()); t != nil && d.Kind() == placer.Start {
			starting[j.spec.Team()] += j.spec.Size().CPU()
		}
	}
	over := make(map[string]bool, len(starting))
	unfenced := s.unfenced()
	for name, cpu := range starting {
		team := s.placer.Team(name)
		running, wanted := team.Used().CPU()+unfenced, team.Demand().CPU()
		s.limits.Report(name, running-cpu, wanted+cpu)
		over[name] = !s.limits.Allow(name, running, wanted)
	}
	return over
}

// takeBack undoes the placement of a task that was not started, and tells the
// placer the team's limit anew.
func (s *Scheduler) takeBack(d placer.Decision) {
	s.logger.Info("Start taken back.", "shard", s.shard, "task", d.Task().String(), "worker", d.Worker(), "reason", "the limit has moved")
	s.check(s.placer.Unplace(d.Task()))
	s.limit(s.teamOf(d), s.unfenced())
}

// followLimits passes on allotments that have changed for teams with tasks that
// wait, and tells what such teams lack.
func (s *Scheduler) followLimits() {
	unfenced := s.unfenced()
	for _, team := range s.placer.Teams() {
		if team.Demand().CPU() == 0 {
			continue
		}
		if allotment := s.part(team.Name(), unfenced); allotment != team.Quota() {
			s.limit(team.Name(), unfenced)
			s.kick()
		}
		if team.Quota() >= 0 && team.Used().CPU()+team.Demand().CPU() > team.Quota() {
			s.limits.Allow(team.Name(), team.Used().CPU()+unfenced, team.Demand().CPU())
		}
	}
}

// part returns the team's part of its limit here, less what may run on workers that
// have not been read back yet; negative when there is no limit. A part that moves
// stops no task that runs: only a limit that was lowered does.
func (s *Scheduler) part(team string, unfenced int64) int64 {
	allotment := s.allotment(team)
	if allotment < 0 {
		return allotment
	}
	keep := s.placer.Team(team).Used().CPU() - s.limits.Excess(team)
	return max(0, allotment-unfenced, keep)
}
