package placer

import (
	"fmt"
	"time"
)

// TeamOption changes a team.
type TeamOption func(*team)

// WithQuota sets the upper limit of the team here, in thousandths of a
// processor; negative for none.
func WithQuota(cpu int64) TeamOption { return func(t *team) { t.allotment = cpu } }

// SetTeam sets the share of a team, as a weight above 0, and what the options
// say. Errors: ErrBadOption.
func (p *Placer) SetTeam(name string, share float64, options ...TeamOption) error {
	if name == "" || share <= 0 {
		return fmt.Errorf("%w: team %q with share %v", ErrBadOption, name, share)
	}
	t := p.teamNamed(name)
	t.weight = share
	for _, option := range options {
		option(t)
	}
	p.shares.stale = true
	p.released = true
	return nil
}

// SetQuota sets the upper limit of a team here, in thousandths of a
// processor; negative for none. Running work above it is reduced by Decide.
func (p *Placer) SetQuota(name string, cpu int64) {
	p.teamNamed(name).allotment = cpu
	p.shares.stale = true
	p.released = true
}

// SetRemoteUsage tells what each team uses in other shards, by which its share
// here shrinks. Teams that aren't named use nothing elsewhere.
func (p *Placer) SetRemoteUsage(elsewhere map[string]Resources) {
	for _, t := range p.teams {
		t.elsewhere = elsewhere[t.name]
	}
	p.shares.stale = true
}

// Team tells how a team stands.
type Team struct {
	name      string
	pending   int       // tasks that wait
	running   int       // tasks on workers
	used      Resources // by tasks on workers
	demand    Resources // of the tasks that wait and may start
	allotment int64     // thousandths of a processor; negative for none
	share     float64   // dominant share that it uses
	ideal     float64   // dominant share due to it at the last reckoning
}

// Name returns the name.
func (t Team) Name() string { return t.name }

// Pending returns how many tasks wait.
func (t Team) Pending() int { return t.pending }

// Running returns how many tasks are on workers.
func (t Team) Running() int { return t.running }

// Used returns what the tasks on workers hold.
func (t Team) Used() Resources { return t.used }

// Demand returns what the tasks that wait and may start ask for.
func (t Team) Demand() Resources { return t.demand }

// Quota returns the upper limit here in thousandths of a processor,
// negative for none.
func (t Team) Quota() int64 { return t.allotment }

// Share returns the dominant share of all workers here that the team uses.
func (t Team) Share() float64 { return t.share }

// FairShare returns the dominant share due to the team at the last reckoning.
func (t Team) FairShare() float64 { return t.ideal }

// Team returns how a team stands; the zero Team when it is unknown.
func (p *Placer) Team(name string) Team {
	t := p.byTeam[name]
	if t == nil {
		return Team{}
	}
	return Team{t.name, t.pending, t.active, t.used, t.demand, t.allotment, t.share, t.ideal}
}

// Teams returns how all teams stand, in order of arrival.
func (p *Placer) Teams() []Team {
	teams := make([]Team, 0, len(p.teams))
	for _, t := range p.teams {
		teams = append(teams, p.Team(t.name))
	}
	return teams
}

func (p *Placer) teamNamed(name string) *team {
	t := p.byTeam[name]
	if t == nil {
		t = newTeam(name)
		p.byTeam[name] = t
		p.teams = append(p.teams, t)
	}
	return t
}

// Shares are reckoned anew after this time, and what a team lacked is forgotten
// over the other.
const (
	shareInterval = 250 * time.Millisecond
	shareMemory   = 20 * time.Second
	// inflowMemory is over how long the work that arrives is averaged, and how
	// long a forecast expects it to go on.
	inflowMemory = 5 * time.Minute
	// shareSteps is how often the search for the level halves its range.
	shareSteps = 40
)

// shares keeps the reckoning of what is due to each team.
type shares struct {
	at    int64 // nanoseconds since 1970
	stale bool  // weights, limits or workers have changed
}

// reckon brings ideal shares and deficits up to date.
func (p *Placer) reckon(now int64) {
	past := now - p.shares.at
	if past < int64(shareInterval) && !p.shares.stale {
		return
	}
	level := p.level()
	for _, t := range p.teams {
		t.share = t.used.DominantShare(p.total)
		t.ideal = t.due(level)
		t.meter(past)
		if p.shares.at == 0 || t.pending == 0 {
			t.deficit = 0
			continue
		}
		part := min(float64(past)/float64(shareMemory), 1)
		t.deficit += (t.ideal - t.share - t.deficit) * part
	}
	p.shares = shares{at: now}
}

// meter brings the inflow of the team up to date after some nanoseconds.
func (t *team) meter(past int64) {
	if seconds := time.Duration(past).Seconds(); seconds > 0 {
		part := min(seconds/inflowMemory.Seconds(), 1)
		t.inflow += (t.arrived/seconds - t.inflow) * part
		t.arrived = 0
	}
}

// level returns the highest share for each unit of weight at which the demands
// of all teams still fit: weighted max-min over dominant shares.
func (p *Placer) level() float64 {
	lowest := 0.0
	for _, t := range p.teams {
		t.measure(p.total)
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
	for range shareSteps {
		middle := (low + high) / 2
		if p.fitsAt(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// fitsAt reports whether the shares due at a level fit into the workers.
func (p *Placer) fitsAt(level float64) bool {
	var cpu, memory, accelerators float64
	for _, t := range p.teams {
		due := t.due(level)
		cpu += due * t.mix[0]
		memory += due * t.mix[1]
		accelerators += due * t.mix[2]
	}
	return cpu <= 1 && memory <= 1 && accelerators <= 1
}

// measure notes what the team could use and in which mix.
func (t *team) measure(total Resources) {
	wish := t.used.Add(t.demand)
	t.wish = wish.DominantShare(total)
	t.foreign = t.elsewhere.DominantShare(total)
	t.mix = [3]float64{}
	if t.wish == 0 {
		return
	}
	for i, part := range [...][2]int64{
		{wish.cpu, total.cpu},
		{wish.memory, total.memory},
		{wish.accelerators, total.accelerators},
	} {
		if part[1] > 0 {
			t.mix[i] = float64(part[0]) / float64(part[1]) / t.wish
		}
	}
	if t.allotment >= 0 && wish.cpu > t.allotment {
		t.wish *= float64(t.allotment) / float64(wish.cpu)
	}
}

// due returns the team's dominant share at a level.
func (t *team) due(level float64) float64 {
	return min(max(level*t.weight-t.foreign, 0), t.wish)
}

// lack returns how far the team is below what is due to it, with what it lacked
// lately; negative above.
func (t *team) lack() float64 { return t.ideal + t.deficit - t.share }
