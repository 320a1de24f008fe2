package router

// Outcome tells a caller what became of its request. It is sent in OutcomeHeader.
type Outcome string

// The possible outcomes of a request.
const (
	// NotRun means that no byte of the request was sent to an executor and that it
	// can't take effect later.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run or may still run.
	Unknown Outcome = "unknown"
	// Ran means that the request was carried out.
	Ran Outcome = "ran"
)

// Names of the headers that Filberthaven defines.
const (
	// OutcomeHeader carries the Outcome of the request in each response.
	OutcomeHeader = "Filberthaven-Outcome"
	// RequestIDHeader carries the caller's id of a request.
	RequestIDHeader = "Filberthaven-Request"
	// DeadlineHeader carries the time left for a request in milliseconds.
	DeadlineHeader = "Filberthaven-Deadline"
	// IdempotentHeader with the value "true" says that a request may run more than
	// once.
	IdempotentHeader = "Filberthaven-Idempotent"
	// CorrelationHeader carries an id to an executor, which echoes it so that its
	// response can be matched to the request.
	CorrelationHeader = "Filberthaven-Correlation"
	// TeamHeader tells an executor the team that sent the request.
	TeamHeader = "Filberthaven-Team"
	// HopHeader marks a request that another entry VM has forwarded. It is not
	// forwarded again.
	HopHeader = "Filberthaven-Hop"
)
