// Package narrator tells the story of one job from the logs of entry VMs, with the
// cause of its end in a sentence.
package narrator

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// lineLimit is the longest line of a log in bytes; a longer one ends the reading.
const lineLimit = 1 << 20

// stamp finds the time of a line.
var stamp = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+(Z|[+-]\d{2}:?\d{2})`)

// Timeline is what logs say of one job.
type Timeline struct {
	id    string
	lines []line // in the order of their reading
}

// line is a line of a log that names the job, or an event that touches all jobs.
type line struct {
	time    string // as written; the fixed form sorts by time
	text    string
	general bool
}

// New returns the empty story of the job with that id.
func New(id string) *Timeline { return &Timeline{id: id} }

// generals are the messages that touch every job.
func generals() []string {
	return []string{"ownership claimed", "ownership ended", "fleet taken over", "journal is over", "lease of the ownership not renewed", "resigning", "stopping:"}
}

// Read adds the lines of a log that matter.
func (s *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		text := scanner.Text()
		general := slices.ContainsFunc(generals(), func(message string) bool { return strings.Contains(text, message) })
		if general || strings.Contains(text, s.id) {
			s.lines = append(s.lines, line{stamp.FindString(text), text, general})
		}
	}
	return scanner.Err()
}

// Len returns the number of lines that name the job.
func (s *Timeline) Len() int {
	n := 0
	for _, l := range s.lines {
		if !l.general {
			n++
		}
	}
	return n
}

// told returns the lines by time, general ones only while the job was under way.
func (s *Timeline) told() []line {
	lines := slices.Clone(s.lines)
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.time, b.time) })
	own := func(l line) bool { return !l.general }
	first := slices.IndexFunc(lines, own)
	if first < 0 {
		return nil
	}
	last := len(lines) - 1
	for lines[last].general {
		last--
	}
	return lines[first : last+1]
}

// Write prints the story and the cause.
func (s *Timeline) Write(w io.Writer) error {
	for _, l := range s.told() {
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "\ncause: %s\n", s.Cause())
	return err
}

// sign is a message that tells a cause; the first that a story has counts.
type sign struct{ message, cause string }

// ends are the signs of how a job ended, the plainest first.
func ends() []sign {
	return []sign{
		{"state=failed", "a task used up its attempts"},
		{"state=cancelled", "its caller cancelled it"},
		{"state=completed", "it completed"},
	}
}

// delays are the signs of what held a job up or had it refused.
func delays() []sign {
	return []sign{
		{"sends more than its rate", "its team sent more than its rate while work waited, so it was refused"},
		{"can't be done in time", "the work ahead of it could not be done in time, so it was refused"},
		{"job not stored", "the store could not take it, so it was refused"},
		{"request not passed on", "the entry VM reached no owner of the fleet"},
		{"how=lost", "a run was lost with its executor"},
		{"how=lapsed", "a run lost its lease, as nobody renewed it"},
		{"how=broken", "a run ended because another member of its gang did"},
		{"how=alone", "a run waited in vain for the other members of its gang"},
		{"how=failed", "a run failed"},
		{"start not confirmed", "a start got no answer or was refused"},
		{"starts taken back", "starts were taken back, as the journal could not be written"},
		{"fleet taken over", "the fleet changed its owner meanwhile"},
	}
}

// Cause returns the cause of the job's end in a sentence.
func (s *Timeline) Cause() string {
	text := ""
	for _, l := range s.told() {
		text += l.text + "\n"
	}
	var parts []string
	for _, e := range ends() {
		if strings.Contains(text, e.message) {
			parts = append(parts, e.cause)
			break
		}
	}
	for _, d := range delays() {
		if strings.Contains(text, d.message) {
			parts = append(parts, d.cause)
		}
	}
	switch {
	case len(parts) > 0:
		return strings.Join(parts, "; ")
	case strings.Contains(text, "conductor: start:"):
		return "it runs, or its end was not listed yet"
	case strings.Contains(text, "conductor: ask:"):
		return "it waits for room, or for advice on which executors may run it"
	default:
		return "the logs don't tell"
	}
}
