package scheduler

// Outcome is how an urgent request ended, as far as its holder knows.
type Outcome uint8

// The outcomes of a claimed request.
const (
	// InProgress means that the holder has not settled it.
	InProgress Outcome = iota
	// Ran means that the request ran; it must not run again.
	Ran
	// MayHaveRun means that nobody knows; it must not run again.
	MayHaveRun
	// NotRun means that it surely did not run; the claim is free again.
	NotRun
)

var outcomeNames = [...]string{InProgress: "open", Ran: "ran", MayHaveRun: "unknown", NotRun: "not-run"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Claim is the answer to a claim of an urgent request.
type Claim struct {
	granted bool    // the caller may send the request on, once
	holder  string  // who was granted it
	outcome Outcome // what its holder said
}

// Granted reports whether the caller may send the request on, once.
func (c Claim) Granted() bool { return c.granted }

// Holder returns who was granted the request.
func (c Claim) Holder() string { return c.holder }

// Outcome returns what the holder said of it.
func (c Claim) Outcome() Outcome { return c.outcome }
