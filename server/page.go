package server

import (
	"bytes"
	"context"
	"embed"
	"encoding/json"
	"fmt"
	"html/template"
	"net/http"

	"filberthaven.example/configurer"
)

//go:embed templates/status.html
var pageFiles embed.FS

// pageFunctions format values for the status page.
var pageFunctions = template.FuncMap{
	"processors": configurer.FormatProcessors,
	"count":      configurer.FormatCount,
	"percent":    func(part float64) string { return fmt.Sprintf("%.1f %%", part*100) },
	"rate":       func(perSecond float64) string { return fmt.Sprintf("%.1f", perSecond) },
}

// Page serves the read-only status page. The page needs no scripts.
type Page struct {
	status   func(context.Context) Status
	template *template.Template
}

// NewPage returns a page that shows the result of status.
func NewPage(status func(context.Context) Status) (*Page, error) {
	parsed, err := template.New("status.html").Funcs(pageFunctions).ParseFS(pageFiles, "templates/status.html")
	if err != nil {
		return nil, err
	}
	return &Page{status: status, template: parsed}, nil
}

// pagePolicy is the page's content security policy. It allows nothing but the inline
// style sheet.
const pagePolicy = "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'"

// ServeHTTP writes the page with the current status.
func (p *Page) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	if err := p.template.Execute(&body, p.status(r.Context())); err != nil {
		http.Error(w, "the status page can't be written", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", pagePolicy)
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(body.Bytes()) // fails only if the caller has disconnected
}

// NewStatusHandler returns a handler that writes the result of status as JSON.
func NewStatusHandler(status func(context.Context) Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Cache-Control", "no-store")
		_ = json.NewEncoder(w).Encode(status(r.Context())) // fails only if the caller has disconnected
	})
}
