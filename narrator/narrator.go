// Package narrator builds the timeline of one job from the logs of entry VMs, and
// states the cause of its end in a sentence.
//
// A Timeline is created for the id of a job and reads the logs in any order. It selects
// lines by the text of the messages of the other packages, so that both must change
// together. Lines about the whole fleet, such as a change of owner, count only between the
// first and the last line that names the job.
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

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 1 << 20

// timestampPattern matches the time of a line.
var timestampPattern = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+(Z|[+-]\d{2}:?\d{2})`)

// Timeline holds the lines of logs that concern one job. It is not safe for concurrent
// use.
type Timeline struct {
	id    string
	lines []line // in the order in which they were read
}

// line is a line of a log that names the job, or a general line about an event that
// affects all jobs.
type line struct {
	time    string // as in the log, where all times have a form that sorts chronologically
	text    string
	general bool
}

// New returns an empty timeline for the job with that id.
func New(id string) *Timeline { return &Timeline{id: id} }

// generalMessages returns the log messages of events that affect all jobs.
func generalMessages() []string {
	return []string{"ownership claimed", "ownership ended", "fleet taken over", "journal is over", "lease of the ownership not renewed", "resigning", "stopping:", "starts taken back"}
}

// Read adds the lines of a log that name the job or affect all jobs.
func (t *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		general := slices.ContainsFunc(generalMessages(), func(message string) bool { return strings.Contains(text, message) })
		if general || strings.Contains(text, t.id) {
			t.lines = append(t.lines, line{timestampPattern.FindString(text), text, general})
		}
	}
	return scanner.Err()
}

// JobLines returns the number of lines that name the job, without general lines.
func (t *Timeline) JobLines() int {
	n := 0
	for _, l := range t.lines {
		if !l.general {
			n++
		}
	}
	return n
}

// relevantLines returns the lines in order of time, from the first to the last line that
// names the job.
func (t *Timeline) relevantLines() []line {
	lines := slices.Clone(t.lines)
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.time, b.time) })
	namesJob := func(l line) bool { return !l.general }
	first := slices.IndexFunc(lines, namesJob)
	if first < 0 {
		return nil
	}
	last := len(lines) - 1
	for lines[last].general {
		last--
	}
	return lines[first : last+1]
}

// Write prints the lines in order of time, and then the cause.
func (t *Timeline) Write(w io.Writer) error {
	for _, l := range t.relevantLines() {
		if _, err := fmt.Fprintln(w, l.text); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "\ncause: %s\n", t.Cause())
	return err
}

// rule maps a substring of log lines to the cause that it indicates.
type rule struct{ substring, cause string }

// endRules returns the rules for how a job ended. The first rule that matches counts.
func endRules() []rule {
	return []rule{
		{"proven=true", "a task crashed the executors that started it, so it failed"},
		{"state=failed", "a task used up its attempts"},
		{"state=cancelled", "its caller cancelled it"},
		{"state=completed", "it completed"},
	}
}

// causeRules returns the rules for why a job was delayed or refused. All rules that match
// count.
func causeRules() []rule {
	return []rule{
		{"sends more than its rate", "its team sent more than its rate while work waited, so it was refused"},
		{"can't be ordered in time", "the starts ahead of it could not be ordered in time, so it was refused"},
		{"can't be done in time", "the work ahead of it could not be done in time, so it was refused"},
		{"job not stored", "the store could not take it, so it was refused"},
		{"request not passed on", "the entry VM reached no owner of the fleet"},
		{"suspect=true", "a task may have crashed its executor, so it waited for one of its own"},
		{"worker crashed", "an executor crashed under a run"},
		{"how=lost", "a run was lost with its executor"},
		{"how=lapsed", "the lease of a run expired because it was not renewed"},
		{"how=broken", "a run ended because another member of its gang did"},
		{"how=alone", "a run gave up waiting for the other members of its gang"},
		{"how=failed", "a run failed"},
		{"start not confirmed", "a start got no response or was refused"},
		{"start withdrawn", "a start was withdrawn before its order was sent"},
		{"starts taken back", "starts of some jobs were withdrawn meanwhile because the journal could not be written"},
		{"fleet taken over", "the fleet changed its owner meanwhile"},
	}
}

// Cause states in a sentence how the job ended and what delayed it or had it refused. If no
// line tells, it states whether the job runs or what it waits for, as far as the lines
// show: a decided start may still be withdrawn, refused or lost, and earlier versions don't
// log that a job has begun.
func (t *Timeline) Cause() string {
	text := ""
	for _, l := range t.relevantLines() {
		text += l.text + "\n"
	}
	var parts []string
	for _, r := range endRules() {
		if strings.Contains(text, r.substring) {
			parts = append(parts, r.cause)
			break
		}
	}
	for _, r := range causeRules() {
		if strings.Contains(text, r.substring) {
			parts = append(parts, r.cause)
		}
	}
	switch {
	case len(parts) > 0:
		return strings.Join(parts, "; ")
	case strings.Contains(text, "conductor: job begun:"):
		return "it runs, or its end was not reported yet"
	case strings.Contains(text, "how=done"):
		return "a run of it is done, and its end was not reported yet"
	case strings.Contains(text, "conductor: start:"):
		return "its start was decided, but no line shows that a worker has begun it"
	case strings.Contains(text, "conductor: ask:"):
		return "it waits for free capacity, or for advice on which executors may run it"
	default:
		return "the logs don't tell"
	}
}
