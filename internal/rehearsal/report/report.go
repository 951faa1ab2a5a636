// Package report words what a rehearsal has shown: a table for the terminal,
// JSON for programs and one HTML file, with its charts inside, for people. It
// judges by what the replay and the stand-ins' books say, and must never show
// more of a recording than its counts.
package report

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// Report is everything that is told of one rehearsal.
type Report struct {
	Recording string            `json:"recording"` // base name of the file
	Front     string            `json:"front"`
	Seed      uint64            `json:"seed"`
	Speed     float64           `json:"speed"`
	Start     time.Time         `json:"recorded_from"`
	Import    *Import           `json:"import"`
	Stands    *standin.Findings `json:"books,omitempty"` // of the stand-ins; none where the kit did not start them
	Workers   int               `json:"workers"`

	*replay.Result

	RanTwice  int    `json:"ran_twice"`          // of the jobs that must not
	NeverRan  int    `json:"answered_never_ran"` // served, and not in any worker's books
	Withheld  string `json:"withheld_why,omitempty"`
	DaemonRSS int64  `json:"daemon_rss_kb,omitempty"`
	Verdict   string `json:"verdict"`
	Kept      bool   `json:"kept"`
}

// Import is what the recording's header tells of its making.
type Import struct {
	Counts  map[string]uint64 `json:"counts"`
	Repairs map[string]uint64 `json:"repairs"`
	Keys    string            `json:"made_up_keys,omitempty"`
	Sources []Source          `json:"sources"`
	History []string          `json:"history"`
}

// Source is one of the recording's sources.
type Source struct {
	Name     string  `json:"name"`
	Format   string  `json:"format"`
	Accepted uint64  `json:"accepted"`
	Read     uint64  `json:"read"`
	OffsetS  float64 `json:"offset_s"`
	SpreadS  float64 `json:"offset_spread_s"`
	Pairs    uint32  `json:"offset_pairs"`
	Guessed  bool    `json:"offset_estimated"`
	Cut      string  `json:"cut,omitempty"`
}

// FromHeader reads a recording's header.
func FromHeader(h *recordingpb.Header) *Import {
	c := h.GetCounts()
	i := &Import{Counts: map[string]uint64{"read": c.GetRead(), "accepted": c.GetAccepted(), "malformed": c.GetMalformed(),
		"unmapped": c.GetUnmapped(), "ignored": c.GetIgnored(), "repaired": c.GetRepaired()}, Repairs: h.Repairs, Keys: h.MadeUpKeys,
		History: h.History}
	for _, s := range h.Sources {
		i.Sources = append(i.Sources, Source{Name: s.Name, Format: s.Format, Accepted: s.Counts.GetAccepted(), Read: s.Counts.GetRead(),
			OffsetS: float64(s.OffsetUs) / 1e6, SpreadS: float64(s.SpreadUs) / 1e6, Pairs: s.Pairs, Guessed: s.Estimated, Cut: s.Cut})
	}
	return i
}

// Judge checks the rules, and the stand-ins' books if there are any.
func (r *Report) Judge(books *standin.Books) {
	var broken []string
	say := func(n int, what string) {
		if n > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", n, what))
		}
	}
	if books != nil {
		f := books.Check()
		r.Stands, r.RanTwice = &f, len(f.RanTwice)
		for _, id := range r.ServedIDs {
			if _, done := books.Runs(id); done == 0 {
				r.NeverRan++
			}
		}
		say(r.RanTwice, "jobs that must not run twice did")
		say(r.NeverRan, "jobs were answered as served and never ran")
		say(len(f.Unknown), "requests reached a worker that were not sent so")
	}
	say(r.Count(func(t *replay.Tally) int { return t.Lost }), "entries had no final answer in time")
	say(r.Count(func(t *replay.Tally) int { return t.Twice }), "entries were answered twice")
	say(r.Stray, "answers came to nothing that was sent")
	if r.Kept = len(broken) == 0; r.Kept {
		r.Verdict = "all rules kept: every entry sent had one final answer in time, and no job ran twice that must not"
		if books == nil {
			r.Verdict = "all rules kept that can be seen from outside: every entry sent had one final answer in time"
		}
	} else {
		r.Verdict = "rules broken: " + strings.Join(broken, "; ")
	}
}

// Names are the classes in order.
func (r *Report) Names() []string { return slices.Sorted(maps.Keys(r.Classes)) }

// Write writes the report for a terminal.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%-16s %8s %8s %8s %7s %6s %6s %9s %9s %9s %9s\n", "class", "sent", "served", "refused", "failed", "lost", "twice",
		"withheld", "p50 ms", "p99 ms", "max ms")
	for _, name := range r.Names() {
		t := r.Classes[name]
		fmt.Fprintf(w, "%-16s %8d %8d %8d %7d %6d %6d %9d %9.1f %9.1f %9.1f\n", name, t.Sent, t.Served, t.Refused, t.Failed, t.Lost,
			t.Twice, t.Withheld, ms(t.Intended.P50), ms(t.Intended.P99), ms(t.Intended.Max))
	}
	f := r.Fidelity
	fmt.Fprintf(w, "fidelity: worst second off by %.2f%%, KS of arrivals %.4f, of gaps %.4f; late p50 %.2f ms, p99 %.2f ms, max %.2f ms; written p99 %.2f ms\n",
		100*f.MaxSecondError, f.KS, f.KSGaps, ms(f.LateP50), ms(f.LateP99), ms(f.LateMax), ms(f.WrittenP99))
	list(w, "refused", r.Refusals)
	list(w, "failed or lost", r.Failures)
	if n := r.Count(func(t *replay.Tally) int { return t.Unsent }); n > 0 {
		fmt.Fprintf(w, "not sent, no connection: %d\n", n)
	}
	if r.Withheld != "" {
		fmt.Fprintf(w, "withheld: %s\n", r.Withheld)
	}
	if r.Stands != nil {
		fmt.Fprintf(w, "the stand-ins' books: %d jobs announced, %d executed, %d repeated that may be; ran twice: %d, answered but never ran: %d\n",
			r.Stands.Announced, r.Stands.Executed, r.Stands.Repeated, r.RanTwice, r.NeverRan)
	}
	fmt.Fprintln(w, r.Verdict)
}

func ms(us int64) float64 { return float64(us) / 1000 }

func list(w io.Writer, what string, words map[string]int) {
	for _, why := range slices.Sorted(maps.Keys(words)) {
		fmt.Fprintf(w, "%s: %d  %s\n", what, words[why], why)
	}
}

// JSON writes the report for programs.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms": func(us int64) string { return fmt.Sprintf("%.1f", ms(us)) },
	"pc": func(x float64) string { return fmt.Sprintf("%.2f %%", 100*x) },
}).Parse(pageText))

// HTML writes the report as one file that needs no other.
func (r *Report) HTML(w io.Writer) error {
	charts := []struct {
		Title, Says string
		SVG         template.HTML
	}{}
	for _, c := range []struct {
		title, says string
		draw        func() (*plot.Plot, error)
	}{
		{"Arrivals", "Requests in each second: as recorded, and as they were sent.", r.arrivals},
		{"Waiting", "How long those served waited, from the moment at which the recording has them arrive.", r.latency},
		{"Outcomes", "Final answers in each second.", r.outcomes},
	} {
		p, err := c.draw()
		if err != nil {
			return fmt.Errorf("chart %s: %w", c.title, err)
		}
		svg, err := render(p)
		if err != nil {
			return fmt.Errorf("chart %s: %w", c.title, err)
		}
		charts = append(charts, struct {
			Title, Says string
			SVG         template.HTML
		}{c.title, c.says, svg})
	}
	return page.Execute(w, map[string]any{"R": r, "Charts": charts})
}

var (
	blue   = color.RGBA{0x1f, 0x5f, 0x9e, 0xff}
	orange = color.RGBA{0xd9, 0x7b, 0x1c, 0xff}
	green  = color.RGBA{0x2e, 0x7d, 0x4f, 0xff}
	red    = color.RGBA{0xb3, 0x26, 0x1e, 0xff}
	grey   = color.RGBA{0x77, 0x77, 0x77, 0xff}
)

const mostPoints = 1200 // of a line; longer runs are told by the mean of neighbours

func line(p *plot.Plot, name string, c color.Color, dashed bool, n int, of func(i int) float64) error {
	step := (n + mostPoints - 1) / mostPoints
	var points plotter.XYs
	for i := 0; i < n; i += max(step, 1) {
		sum, k := 0.0, 0
		for j := i; j < min(i+max(step, 1), n); j++ {
			sum, k = sum+of(j), k+1
		}
		points = append(points, plotter.XY{X: float64(i), Y: sum / float64(k)})
	}
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Width = c, vg.Points(1.5)
	if dashed {
		l.Dashes = []vg.Length{vg.Points(5), vg.Points(3)}
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

func (r *Report) chart(title, x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func (r *Report) arrivals() (*plot.Plot, error) {
	p := r.chart("Arrivals", "second of the run", "requests")
	if err := line(p, "recorded", blue, false, len(r.Seconds), func(i int) float64 { return float64(r.Seconds[i].Recorded) }); err != nil {
		return nil, err
	}
	return p, line(p, "replayed", orange, true, len(r.Seconds), func(i int) float64 { return float64(r.Seconds[i].Replayed) })
}

func (r *Report) outcomes() (*plot.Plot, error) {
	p := r.chart("Outcomes", "second of the run", "answers")
	for _, l := range []struct {
		name string
		c    color.Color
		of   func(s *replay.Second) int
	}{
		{"served", green, func(s *replay.Second) int { return s.Served }}, {"refused", orange, func(s *replay.Second) int { return s.Refused }},
		{"failed", red, func(s *replay.Second) int { return s.Failed }}, {"lost", grey, func(s *replay.Second) int { return s.Lost }},
	} {
		if err := line(p, l.name, l.c, l.name == "lost", len(r.Seconds), func(i int) float64 { return float64(l.of(r.Seconds[i])) }); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (r *Report) latency() (*plot.Plot, error) {
	p := r.chart("Waiting", "", "ms")
	marks := []string{"p50", "p90", "p99", "p99.9", "max"}
	names := slices.DeleteFunc(r.Names(), func(n string) bool { return r.Classes[n].Served == 0 })
	if len(names) == 0 {
		return p, nil
	}
	width := vg.Points(90 / float64(len(names)))
	colors := []color.Color{blue, orange, green, red, grey}
	for i, name := range names {
		q := r.Classes[name].Intended
		bars, err := plotter.NewBarChart(plotter.Values{ms(q.P50), ms(q.P90), ms(q.P99), ms(q.P999), ms(q.Max)}, width)
		if err != nil {
			return nil, err
		}
		bars.Color, bars.LineStyle.Width = colors[i%len(colors)], 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(names)-1)/2)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.Legend.Left = true
	p.NominalX(marks...)
	return p, nil
}

func render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(9*vg.Inch, 3.2*vg.Inch)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if i := strings.Index(text, "<svg"); i >= 0 { // without the XML declaration it stands in a page
		text = text[i:]
	}
	return template.HTML(text), nil
}
