package scheduler

// Outcome is how a claimed urgent request ended, as reported by the claim's holder.
type Outcome uint8

// The outcomes of a claimed request.
const (
	// InProgress means that the holder has not settled the claim.
	InProgress Outcome = iota
	// Ran means that the request ran; it must not run again.
	Ran
	// MayHaveRun means that the outcome is unknown; it must not run again.
	MayHaveRun
	// NotRun means that the request certainly did not run; it can be claimed again.
	NotRun
)

// outcomeNames holds the texts that String returns. They are fixed, also when a constant is
// renamed.
var outcomeNames = [...]string{InProgress: "open", Ran: "ran", MayHaveRun: "unknown", NotRun: "not-run"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// Claim is the result of claiming an urgent request.
type Claim struct {
	granted bool
	holder  string
	outcome Outcome
}

// Granted reports whether the caller may send the request on, once.
func (c Claim) Granted() bool { return c.granted }

// Holder returns the holder of the claim.
func (c Claim) Holder() string { return c.holder }

// Outcome returns the outcome that the holder has reported.
func (c Claim) Outcome() Outcome { return c.outcome }
