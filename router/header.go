package router

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopByHopHeaders are meant for one connection only and are not passed on.
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaderPrefix is the prefix of all headers that Filberthaven defines.
const ownHeaderPrefix = "Filberthaven-"

// copyEndToEnd copies the end-to-end headers from src to dst. It leaves out
// hop-by-hop headers, those listed in Connection and Filberthaven's own.
func copyEndToEnd(dst, src http.Header) {
	connection := src["Connection"]
	for name, values := range src {
		if isHopByHop(name) || strings.HasPrefix(name, ownHeaderPrefix) || isConnectionOption(connection, name) {
			continue
		}
		dst[name] = values
	}
}

// isHopByHop reports whether name is a hop-by-hop header.
func isHopByHop(name string) bool {
	for _, header := range hopByHopHeaders {
		if name == header {
			return true
		}
	}
	return false
}

// isConnectionOption reports whether one of the Connection header's values lists name.
func isConnectionOption(connection []string, name string) bool {
	for _, value := range connection {
		for option := range strings.SplitSeq(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option)) == name {
				return true
			}
		}
	}
	return false
}

// parseRemainingTime returns the time left for a request from DeadlineHeader, or 0 if
// the header is absent. Its errors are of type *ProblemError.
func parseRemainingTime(header http.Header) (time.Duration, error) {
	text := header.Get(DeadlineHeader)
	if text == "" {
		return 0, nil
	}
	remaining, err := strconv.ParseInt(text, 10, 64)
	if err != nil || remaining > maxDuration.Milliseconds() {
		return 0, NewProblem(http.StatusBadRequest, "deadline", DeadlineHeader+" must be the milliseconds left")
	}
	if remaining <= 0 {
		return 0, NewProblem(http.StatusGatewayTimeout, "deadline", "the deadline has passed")
	}
	return time.Duration(remaining) * time.Millisecond, nil
}

// isIdempotent reports whether the request may run more than once, because of its
// method or because the caller says so in IdempotentHeader.
func isIdempotent(request *http.Request) bool {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return request.Header.Get(IdempotentHeader) == "true"
}
