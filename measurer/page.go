package measurer

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Size of a plot in pixels.
const (
	plotWidth  = 640
	plotHeight = 120
)

var colors = []string{"#1b6ca8", "#c8553d", "#588157"}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"plot":    plot,
	"percent": func(fraction float64) string { return fmt.Sprintf("%.2f%%", 100*fraction) },
	"seconds": func(s float64) string { return fmt.Sprintf("%.3f s", s) },
	"color":   func(i int) string { return colors[i%len(colors)] },
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Filberthaven: measured decisions</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child{text-align:left}
.no{color:#b00;font-weight:bold}</style>
<h1>Measured decisions</h1><p>Seed {{.Seed}}.</p>
{{with .Checks}}<h2>Targets</h2><table><tr><th>Measure<th>Value<th>Target<th>Met<th>Note
{{range .}}<tr><td>{{.Name}}<td>{{printf "%.4f" .Figure}}<td>{{if .Least}}at least{{else}}at most{{end}} {{.Target}}<td>{{if .Met}}yes{{else}}<span class="no">no</span>{{end}}<td>{{.Note}}
{{end}}</table>{{end}}
{{with .Nights}}<h2>VMs for a night's work</h2><table><tr><th>Method<th>VM hours<th>Most VMs at one time<th>Missed
{{range .}}<tr><td>{{.Name}}<td>{{printf "%.1f" .Hours}}<td>{{.Most}}<td>{{percent .Missed}}
{{end}}</table>{{end}}
{{range .Loads}}<h2>{{.Name}}</h2><p>{{.Workers}} workers, {{.Jobs}} jobs.</p>
<table><tr><th>Policy<th>Deferred jobs due<th>Missed<th>Work in time, core seconds<th>Used<th>Decision p50, us<th>p99, us
{{range .Policies}}<tr><td>{{.Name}}<td>{{.Due}}<td>{{percent .Missed}}<td>{{printf "%.0f" .Good}}<td>{{percent .Used}}<td>{{printf "%.1f" .P50}}<td>{{printf "%.1f" .P99}}
{{end}}</table>
<table><tr><th>Wait to start<th>Class<th>Tasks<th>p50<th>p99<th>Most
{{range .Policies}}{{$policy := .Name}}{{range .Waits}}{{if .Tasks}}<tr><td>{{$policy}}<td>{{.Class}}<td>{{.Tasks}}<td>{{seconds .P50}}<td>{{seconds .P99}}<td>{{seconds .Max}}
{{end}}{{end}}{{end}}</table>
<p>Fraction of all processors allocated, over time:{{range $i, $p := .Policies}} <span style="color:{{color $i}}">{{$p.Name}}</span>{{end}}</p>
{{plot .Policies}}
{{end}}</html>
`))

// HTML writes the report as one HTML page that refers to no other files.
func (r Report) HTML(w io.Writer) error {
	if err := page.Execute(w, r); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// plot draws the fraction of all processors that each policy allocated over time.
func plot(policies []Policy) template.HTML {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" width="%d" height="%d" style="border:1px solid #ccc">`, plotWidth, plotHeight, plotWidth, plotHeight)
	for i, p := range policies {
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" points="`, colors[i%len(colors)])
		for k, fraction := range p.Series {
			x := float64(plotWidth) * float64(k) / float64(max(len(p.Series)-1, 1))
			fmt.Fprintf(&b, "%.1f,%.1f ", x, plotHeight*(1-fraction))
		}
		b.WriteString(`"/>`)
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String()) // holds only numbers and constants
}
