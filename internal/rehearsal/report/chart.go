package report

import (
	"bytes"
	"html/template"
	"image/color"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
)

// The charts' colours.
var (
	blue   = color.RGBA{0x1f, 0x5f, 0x9e, 0xff}
	orange = color.RGBA{0xd9, 0x7b, 0x1c, 0xff}
	green  = color.RGBA{0x2e, 0x7d, 0x4f, 0xff}
	red    = color.RGBA{0xb3, 0x26, 0x1e, 0xff}
	grey   = color.RGBA{0x77, 0x77, 0x77, 0xff}
)

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 3.2 * vg.Inch

	maxLinePoints = 1200 // longer series are reduced to the means of neighbouring values
	lineWidth     = 1.5  // points, as all widths and lengths below
	dashLength    = 5
	dashGap       = 3
	barGroupWidth = 90 // width of all bars of one percentile
)

// newChart makes an empty chart whose vertical axis begins at zero.
func newChart(xLabel, yLabel string) *plot.Plot {
	chart := plot.New()
	chart.X.Label.Text = xLabel
	chart.Y.Label.Text = yLabel
	chart.Y.Min = 0
	chart.Legend.Top = true
	chart.Add(plotter.NewGrid())
	return chart
}

// series is a line of a chart.
type series struct {
	name   string
	color  color.Color
	dashed bool
	value  func(second *replay.Second) int
}

// addLine adds a line with a value for each second. It adds nothing if there are no seconds.
func addLine(chart *plot.Plot, drawn series, seconds []*replay.Second) error {
	points := meanPoints(seconds, drawn.value)
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = drawn.color
	line.Width = vg.Points(lineWidth)
	if drawn.dashed {
		line.Dashes = []vg.Length{vg.Points(dashLength), vg.Points(dashGap)}
	}
	chart.Add(line)
	chart.Legend.Add(drawn.name, line)
	return nil
}

// meanPoints returns the points of a series, at most maxLinePoints. In a longer series each point is the mean of
// several seconds.
func meanPoints(seconds []*replay.Second, value func(*replay.Second) int) plotter.XYs {
	step := max((len(seconds)+maxLinePoints-1)/maxLinePoints, 1)
	var points plotter.XYs
	for start := 0; start < len(seconds); start += step {
		group := seconds[start:min(start+step, len(seconds))]
		points = append(points, plotter.XY{X: float64(start), Y: mean(group, value)})
	}
	return points
}

// mean is the mean of a value over some seconds.
func mean(seconds []*replay.Second, value func(*replay.Second) int) float64 {
	sum := 0.0
	for _, second := range seconds {
		sum += float64(value(second))
	}
	return sum / float64(len(seconds))
}

// arrivalsChart draws the requests as recorded and as sent.
func (r *Report) arrivalsChart() (*plot.Plot, error) {
	return r.secondsChart("requests", []series{
		{name: "recorded", color: blue, value: func(s *replay.Second) int { return s.Recorded }},
		{name: "replayed", color: orange, dashed: true, value: func(s *replay.Second) int { return s.Replayed }},
	})
}

// outcomesChart draws the final answers by outcome.
func (r *Report) outcomesChart() (*plot.Plot, error) {
	return r.secondsChart("answers", []series{
		{name: "served", color: green, value: func(s *replay.Second) int { return s.Served }},
		{name: "rejected", color: orange, value: func(s *replay.Second) int { return s.Rejected }},
		{name: "failed", color: red, value: func(s *replay.Second) int { return s.Failed }},
		{name: "lost", color: grey, dashed: true, value: func(s *replay.Second) int { return s.Lost }},
	})
}

// secondsChart draws lines over the seconds of the run.
func (r *Report) secondsChart(yLabel string, drawn []series) (*plot.Plot, error) {
	chart := newChart("second of the run", yLabel)
	for _, oneSeries := range drawn {
		if err := addLine(chart, oneSeries, r.Seconds); err != nil {
			return nil, err
		}
	}
	return chart, nil
}

// latencyChart draws the latency percentiles of the classes as bars.
func (r *Report) latencyChart() (*plot.Plot, error) {
	chart := newChart("", "ms")
	hasNoLatency := func(class string) bool { return r.Classes[class].Served == 0 }
	classes := slices.DeleteFunc(r.ClassNames(), hasNoLatency)
	if len(classes) == 0 {
		return chart, nil
	}
	width := vg.Points(barGroupWidth / float64(len(classes)))
	colors := []color.Color{blue, orange, green, red, grey}
	for i, class := range classes {
		latency := r.Classes[class].Intended
		bars, err := plotter.NewBarChart(plotter.Values{
			milliseconds(latency.P50),
			milliseconds(latency.P90),
			milliseconds(latency.P99),
			milliseconds(latency.P999),
			milliseconds(latency.Max),
		}, width)
		if err != nil {
			return nil, err
		}
		bars.Color = colors[i%len(colors)]
		bars.LineStyle.Width = 0
		distanceFromMiddle := float64(i) - float64(len(classes)-1)/2 // in bars
		bars.Offset = width * vg.Length(distanceFromMiddle)
		chart.Add(bars)
		chart.Legend.Add(class, bars)
	}
	chart.Legend.Left = true
	chart.NominalX("p50", "p90", "p99", "p99.9", "max")
	return chart, nil
}

// renderSVG renders a chart as an SVG element for an HTML page, without the XML declaration.
func renderSVG(chart *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	chart.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	svg := out.String()
	if start := strings.Index(svg, "<svg"); start >= 0 {
		svg = svg[start:]
	}
	return template.HTML(svg), nil
}
