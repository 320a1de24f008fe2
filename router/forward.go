package router

import (
	"context"
	"net/http"
)

// canForward reports whether the request may be forwarded to another data centre.
func (u *urgentRequest) canForward() bool {
	return !u.forwarded && u.router.requests.NextPeer != nil
}

// forward sends the request to entry VMs of other data centres, one after another,
// until one has a free slot. It returns ErrNoSlot if none has.
func (u *urgentRequest) forward(ctx context.Context) error {
	if !u.canForward() {
		return ErrNoSlot
	}
	// The entry VM that finds a slot claims the request id itself, so a claim made here
	// must be released first.
	u.settle(ctx, ErrNoSlot)
	var tried []string
	for {
		address, ok := u.router.requests.NextPeer(u.service, tried)
		if !ok {
			return ErrNoSlot
		}
		tried = append(tried, address)
		err, tryNext := u.forwardTo(ctx, address)
		if !tryNext || !u.payload.replayable() {
			return err
		}
	}
}

// forwardTo sends the request to one entry VM and its response to the caller. tryNext
// reports whether another entry VM may be tried.
func (u *urgentRequest) forwardTo(ctx context.Context, address string) (err error, tryNext bool) { //nolint:revive // The error is the main result.
	u.router.logger.Info("request forwarded", "service", u.service, "team", u.team, "peer", address)
	u.router.stats.forwarded.Add(1)
	header := make(http.Header, len(u.request.Header)+4)
	copyEndToEnd(header, u.request.Header)
	header.Del("Expect")
	for _, name := range []string{RequestIDHeader, IdempotentHeader} {
		if value := u.request.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(DeadlineHeader, remainingMillis(ctx))
	header.Set(HopHeader, u.router.centre+"/"+u.service)
	outgoing := u.newRequest(u.router.peerScheme, address, u.request.URL.EscapedPath(), header)
	response, transmission, err := send(ctx, u.router.peers, outgoing, u.uploadAborter())
	if err != nil {
		err, retryable := u.sendFailure(ctx, err, transmission.closeAndReportSent())
		return err, retryable && (outcomeOf(err) == NotRun || u.router.budget.withdraw())
	}
	defer response.Body.Close() //nolint:errcheck // A failed close does not change the outcome.
	outcome := Outcome(response.Header.Get(OutcomeHeader))
	if outcome == NotRun && isCapacityRefusal(response.StatusCode) {
		return ErrNoSlot, true
	}
	if outcome != NotRun && outcome != Ran {
		outcome = Unknown
	}
	err, _ = u.writeResponse(ctx, response, outcome, func(bool) {})
	if err != nil {
		transmission.closeConn()
	}
	return err, false
}

// isCapacityRefusal reports whether the status says that an entry VM lacks the capacity
// for a request, which another one may have.
func isCapacityRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
