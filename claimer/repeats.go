package claimer

import "time"

// repeatInterval is the time between two lines of the same warning.
const repeatInterval = time.Second

// Repeats limits a warning to one line a second, with the number of those left out. The
// zero value is ready. It is not safe for concurrent use.
type Repeats struct {
	logged   bool
	loggedAt time.Duration // time of the last line; valid if logged
	leftOut  int           // since loggedAt
}

// Next counts a warning. It reports whether it should be logged and, if so, how many were
// left out since the last line.
func (r *Repeats) Next(now time.Duration) (leftOut int, due bool) {
	if r.logged && now-r.loggedAt < repeatInterval {
		r.leftOut++
		return 0, false
	}
	leftOut = r.leftOut
	r.logged, r.loggedAt, r.leftOut = true, now, 0
	return leftOut, true
}
