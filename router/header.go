package router

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopHeaders end at each hop.
var hopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownPrefix begins the names of the project's headers.
const ownPrefix = "Filberthaven-"

// copyEndToEnd copies the headers that are meant for the other end: none that
// ends at this hop or that Connection lists, and none of the project's own.
func copyEndToEnd(to, from http.Header) {
	listed := from["Connection"]
	for name, values := range from {
		if isHop(name) || strings.HasPrefix(name, ownPrefix) || isListed(listed, name) {
			continue
		}
		to[name] = values
	}
}

// isHop reports whether the header ends at this hop.
func isHop(name string) bool {
	for _, hop := range hopHeaders {
		if name == hop {
			return true
		}
	}
	return false
}

// isListed reports whether a Connection header lists the name.
func isListed(listed []string, name string) bool {
	for _, value := range listed {
		for part := range strings.SplitSeq(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(part)) == name {
				return true
			}
		}
	}
	return false
}

// parseDeadline returns the time left that the header names, 0 when it is
// absent, or a *ProblemError.
func parseDeadline(header http.Header) (time.Duration, error) {
	text := header.Get(DeadlineHeader)
	if text == "" {
		return 0, nil
	}
	left, err := strconv.ParseInt(text, 10, 64)
	if err != nil || left > durationLimit.Milliseconds() {
		return 0, NewProblem(http.StatusBadRequest, "deadline", DeadlineHeader+" must be the milliseconds left")
	}
	if left <= 0 {
		return 0, NewProblem(http.StatusGatewayTimeout, "deadline", "the deadline has passed")
	}
	return time.Duration(left) * time.Millisecond, nil
}

// isIdempotent reports whether the request may run more than once.
func isIdempotent(request *http.Request) bool {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return request.Header.Get(IdempotentHeader) == "true"
}
