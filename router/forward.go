package router

import (
	"context"
	"net/http"
)

// canForward reports whether another data centre may be asked.
func (u *urgent) canForward() bool {
	return !u.passed && u.router.requests.NextPeer != nil
}

// forward passes the request to entry VMs of other data centres until one has
// room. It returns ErrNoSlot when none has.
func (u *urgent) forward(ctx context.Context) error {
	if !u.canForward() {
		return ErrNoSlot
	}
	// The entry VM that finds a slot claims the caller's id itself.
	u.settle(ctx, ErrNoSlot)
	var tried []string
	for {
		address, ok := u.router.requests.NextPeer(u.service, tried)
		if !ok {
			return ErrNoSlot
		}
		tried = append(tried, address)
		err, next := u.passTo(ctx, address)
		if !next || !u.payload.replayable() {
			return err
		}
	}
}

// passTo passes the request to one entry VM. Next reports whether another may
// be asked.
func (u *urgent) passTo(ctx context.Context, address string) (err error, next bool) { //nolint:revive // The error is the answer.
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
	header.Set(DeadlineHeader, leftHeader(ctx))
	header.Set(HopHeader, u.router.centre+"/"+u.service)
	outgoing := u.newRequest(u.router.peerScheme, address, u.request.URL.EscapedPath(), header)
	response, delivery, err := send(ctx, u.router.peers, outgoing, u.abortUpload())
	if err != nil {
		err, again := u.sendProblem(ctx, err, delivery.reached())
		return err, again && (outcomeOf(err) == NotRun || u.router.budget.spend())
	}
	defer response.Body.Close() //nolint:errcheck // Nothing is left to be told.
	outcome := Outcome(response.Header.Get(OutcomeHeader))
	if outcome == NotRun && isRefusal(response.StatusCode) {
		return ErrNoSlot, true
	}
	if outcome != NotRun && outcome != Ran {
		outcome = Unknown
	}
	err, _ = u.deliver(ctx, response, outcome, func(bool) {})
	if err != nil {
		delivery.cut()
	}
	return err, false
}

// isRefusal reports whether another entry VM may have what this one lacks.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
