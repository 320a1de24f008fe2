package router

// Outcome tells a caller what became of its request. It travels in the header
// Filberthaven-Outcome.
type Outcome string

// The outcomes.
const (
	// NotRun means that no byte of the request reached an executor and nothing
	// of it can take effect later.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run or may yet run.
	Unknown Outcome = "unknown"
	// Ran means that the request was carried out.
	Ran Outcome = "ran"
)

// Names of the headers of the callers' API.
const (
	// OutcomeHeader carries the Outcome of each answer.
	OutcomeHeader = "Filberthaven-Outcome"
	// RequestIDHeader carries the caller's own id of a request.
	RequestIDHeader = "Filberthaven-Request"
	// DeadlineHeader carries the milliseconds left for a request.
	DeadlineHeader = "Filberthaven-Deadline"
	// IdempotentHeader with the value "true" allows a request to be run again.
	IdempotentHeader = "Filberthaven-Idempotent"
	// CorrelationHeader carries an id to an executor, which echoes it.
	CorrelationHeader = "Filberthaven-Correlation"
	// TeamHeader tells an executor which team a request came from.
	TeamHeader = "Filberthaven-Team"
	// HopHeader marks a request that another entry VM has passed on; it is not
	// passed on again.
	HopHeader = "Filberthaven-Hop"
)
