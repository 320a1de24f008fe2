package placer

import (
	"fmt"
	"time"
)

// TeamOption changes a team in SetTeam.
type TeamOption func(*team)

// WithQuota sets the quota of the team in this shard, in thousandths of a processor;
// negative for no limit.
func WithQuota(cpu int64) TeamOption { return func(t *team) { t.quota = cpu } }

// SetTeam sets the weight of a team in the fair shares, above 0, and applies the options.
// It returns ErrBadOption for an empty name or a weight that isn't above 0.
func (p *Placer) SetTeam(name string, weight float64, options ...TeamOption) error {
	if name == "" || weight <= 0 {
		return fmt.Errorf("%w: team %q with share %v", ErrBadOption, name, weight)
	}
	t := p.teamFor(name)
	t.weight = weight
	for _, option := range options {
		option(t)
	}
	p.shares.stale = true
	p.passNeeded = true
	return nil
}

// SetQuota sets the quota of a team in this shard, in thousandths of a processor; negative
// for no limit. Decide preempts running tasks above it.
func (p *Placer) SetQuota(name string, cpu int64) {
	p.teamFor(name).quota = cpu
	p.shares.stale = true
	p.passNeeded = true
}

// SetRemoteUsage sets the resources that each team uses in other shards. They reduce its
// fair share here. Teams that aren't in the map use nothing in other shards.
// Teams that the placer doesn't know are ignored.
func (p *Placer) SetRemoteUsage(used map[string]Resources) {
	for _, t := range p.teams {
		t.remoteUsed = used[t.name]
	}
	p.shares.stale = true
}

// Team is the state of a team.
type Team struct {
	name      string
	pending   int       // tasks that wait
	running   int       // tasks on workers
	used      Resources // allocated to tasks on workers
	demand    Resources // of the tasks that wait
	quota     int64     // thousandths of a processor; negative for no limit
	share     float64   // dominant share that it uses
	fairShare float64   // dominant share due to it
}

// Name returns the name.
func (t Team) Name() string { return t.name }

// Pending returns how many tasks wait, including those in back-off.
func (t Team) Pending() int { return t.pending }

// Running returns how many tasks are on workers.
func (t Team) Running() int { return t.running }

// Used returns the resources allocated to tasks on workers.
func (t Team) Used() Resources { return t.used }

// Demand returns the resources of the tasks that wait.
func (t Team) Demand() Resources { return t.demand }

// Quota returns the quota in this shard in thousandths of a processor, negative for no
// limit.
func (t Team) Quota() int64 { return t.quota }

// Share returns the dominant share of the workers of this shard that the team uses.
func (t Team) Share() float64 { return t.share }

// FairShare returns the dominant share due to the team, as last computed by Decide.
func (t Team) FairShare() float64 { return t.fairShare }

// Team returns the state of a team, or the zero Team when it is unknown.
func (p *Placer) Team(name string) Team {
	t := p.byTeam[name]
	if t == nil {
		return Team{}
	}
	return Team{t.name, t.pending, t.active, t.used, t.demand, t.quota, t.share, t.fairShare}
}

// Teams returns the states of all teams, in order of arrival.
func (p *Placer) Teams() []Team {
	teams := make([]Team, 0, len(p.teams))
	for _, t := range p.teams {
		teams = append(teams, p.Team(t.name))
	}
	return teams
}

// teamFor returns the team with that name and adds it if it is unknown.
func (p *Placer) teamFor(name string) *team {
	t := p.byTeam[name]
	if t == nil {
		t = newTeam(name)
		p.byTeam[name] = t
		p.teams = append(p.teams, t)
	}
	return t
}

const (
	// shareInterval is the time after which fair shares are computed again.
	shareInterval = 250 * time.Millisecond
	// deficitWindow is the time over which the deficits of teams are averaged.
	deficitWindow = 20 * time.Second
	// arrivalWindow is the time over which the rate of arriving work is averaged. It is also
	// the longest time for which a forecast expects work to arrive.
	arrivalWindow = 5 * time.Minute
	// levelSteps is how often shareLevel halves the range that it searches.
	levelSteps = 40
)

// shareState records when fair shares were computed.
type shareState struct {
	computedAt int64 // nanoseconds since 1970
	stale      bool  // weights, quotas or remote usage have changed since
}

// updateShares computes shares, deficits and arrival rates, unless they were computed within
// shareInterval and aren't stale.
func (p *Placer) updateShares(now int64) {
	elapsed := now - p.shares.computedAt
	if elapsed < int64(shareInterval) && !p.shares.stale {
		return
	}
	level := p.shareLevel()
	for _, t := range p.teams {
		t.share = t.used.DominantShare(p.total)
		t.fairShare = t.shareAt(level)
		t.updateArrivalRate(elapsed)
		if p.shares.computedAt == 0 || t.pending == 0 {
			t.deficit = 0
			continue
		}
		fraction := min(float64(elapsed)/float64(deficitWindow), 1)
		t.deficit += (t.fairShare - t.share - t.deficit) * fraction
	}
	p.shares = shareState{computedAt: now}
}

// updateArrivalRate updates the arrival rate by the work that arrived in the elapsed
// nanoseconds.
func (t *team) updateArrivalRate(elapsed int64) {
	if seconds := time.Duration(elapsed).Seconds(); seconds > 0 {
		fraction := min(seconds/arrivalWindow.Seconds(), 1)
		t.arrivalRate += (t.arrivedWork/seconds - t.arrivalRate) * fraction
		t.arrivedWork = 0
	}
}

// shareLevel returns the highest level, a dominant share per unit of weight, at which the
// fair shares of all teams fit on the workers. This is weighted max-min fairness over
// dominant shares.
func (p *Placer) shareLevel() float64 {
	lowest := 0.0
	for _, t := range p.teams {
		t.measureDemand(p.total)
		if lowest == 0 || t.weight < lowest {
			lowest = t.weight
		}
	}
	if lowest == 0 {
		return 0
	}
	low, high := 0.0, 2/lowest
	if p.fitsAt(high) {
		return high
	}
	for range levelSteps {
		middle := (low + high) / 2
		if p.fitsAt(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// fitsAt reports whether the fair shares at a level fit on the workers.
func (p *Placer) fitsAt(level float64) bool {
	var cpu, memory, accelerators float64
	for _, t := range p.teams {
		share := t.shareAt(level)
		cpu += share * t.mix[0]
		memory += share * t.mix[1]
		accelerators += share * t.mix[2]
	}
	return cpu <= 1 && memory <= 1 && accelerators <= 1
}

// measureDemand updates maxShare, mix and remoteShare of the team.
func (t *team) measureDemand(total Resources) {
	wanted := t.used.Add(t.demand)
	t.maxShare = wanted.DominantShare(total)
	t.remoteShare = t.remoteUsed.DominantShare(total)
	t.mix = [3]float64{}
	if t.maxShare == 0 {
		return
	}
	for i, part := range [...][2]int64{
		{wanted.cpu, total.cpu},
		{wanted.memory, total.memory},
		{wanted.accelerators, total.accelerators},
	} {
		if part[1] > 0 {
			t.mix[i] = float64(part[0]) / float64(part[1]) / t.maxShare
		}
	}
	if t.quota >= 0 && wanted.cpu > t.quota {
		t.maxShare *= float64(t.quota) / float64(wanted.cpu)
	}
}

// shareAt returns the dominant share due to the team at a level.
func (t *team) shareAt(level float64) float64 {
	return min(max(level*t.weight-t.remoteShare, 0), t.maxShare)
}

// shortfall returns by how much the team's share is below its fair share plus its deficit.
// It is negative when the share is above that.
func (t *team) shortfall() float64 { return t.fairShare + t.deficit - t.share }
