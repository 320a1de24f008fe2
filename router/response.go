package router

import (
	"encoding/json"
	"net/http"
)

// writeText sends text as a plain-text response.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

// writeJSON sends body as a JSON response with the outcome Ran.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		NewProblem(http.StatusInternalServerError, "internal", "internal error").WithOutcome(Unknown).write(w)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set(OutcomeHeader, string(Ran))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
