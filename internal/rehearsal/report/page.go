package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
)

//go:embed page.html
var pageText string

// page is the template of the HTML report.
var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":      func(microseconds int64) string { return fmt.Sprintf("%.1f", milliseconds(microseconds)) },
	"percent": func(share float64) string { return fmt.Sprintf("%.2f %%", 100*share) },
}).Parse(pageText))

// pageData is what page.html shows.
type pageData struct {
	Report *Report
	Charts []pageChart
}

// pageChart is a chart with its heading.
type pageChart struct {
	Title   string
	Caption string
	SVG     template.HTML
}

// WriteHTML writes the report as one HTML page that needs no other file.
func (r *Report) WriteHTML(w io.Writer) error {
	data := pageData{Report: r}
	for _, chart := range []struct {
		title   string
		caption string
		draw    func() (*plot.Plot, error)
	}{
		{"Arrivals", "Requests in each second: as recorded, and as they were sent.", r.arrivalsChart},
		{"Latency", "Latency of served requests, counted from their arrival times in the recording.", r.latencyChart},
		{"Outcomes", "Final answers in each second.", r.outcomesChart},
	} {
		svg, err := drawSVG(chart.draw)
		if err != nil {
			return fmt.Errorf("chart %s: %w", chart.title, err)
		}
		data.Charts = append(data.Charts, pageChart{Title: chart.title, Caption: chart.caption, SVG: svg})
	}
	return page.Execute(w, data)
}

// drawSVG draws a chart and renders it.
func drawSVG(draw func() (*plot.Plot, error)) (template.HTML, error) {
	chart, err := draw()
	if err != nil {
		return "", err
	}
	return renderSVG(chart)
}
