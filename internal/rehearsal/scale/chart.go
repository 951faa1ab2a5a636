package scale

import (
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// lineColors are the colors of the chart's lines, in the order of the runs.
var lineColors = []color.Color{
	color.RGBA{0xd9, 0x7b, 0x1c, 0xff}, color.RGBA{0x1f, 0x5f, 0x9e, 0xff}, color.RGBA{0x2e, 0x7d, 0x4f, 0xff},
}

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 6.4 * vg.Inch
)

// WriteChart writes an SVG chart that compares runs of one scenario: bytes per second and processor time of a hollow
// dispatcher over the time of the run, with one line for each run.
func WriteChart(out io.Writer, runs []*Run) error {
	bytes := newPlot("Bytes of a dispatcher a second, mean of the hollow ones", "bytes a second")
	share := newPlot("Processor time of a dispatcher, mean of the hollow ones", "share of a core")
	for i, run := range runs {
		hollow := run.groups()[0]
		count := float64(len(hollow.members))
		lineColor := lineColors[i%len(lineColors)]
		meanBytes := func(s *sample) (sum float64) {
			for _, name := range hollow.members {
				sum += float64(s.clientBytes[name])
			}
			return sum / count
		}
		meanShare := func(s *sample) (sum float64) {
			for process := range hollow.dispatchersByProcess {
				sum += s.cpu[process].Seconds()
			}
			return sum / count
		}
		if err := addLine(bytes, run, lineColor, meanBytes); err != nil {
			return err
		}
		if err := addLine(share, run, lineColor, meanShare); err != nil {
			return err
		}
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1}
	whole := draw.New(canvas)
	bytes.Draw(tiles.At(whole, 0, 0))
	share.Draw(tiles.At(whole, 0, 1))
	_, err := canvas.WriteTo(out)
	return err
}

// newPlot returns an empty plot whose horizontal axis is the time since the start of the run.
func newPlot(title, yLabel string) *plot.Plot {
	created := plot.New()
	created.Title.Text = title
	created.X.Label.Text = "second of the run"
	created.Y.Label.Text = yLabel
	created.Y.Min = 0
	created.Legend.Top = true
	created.Add(plotter.NewGrid())
	return created
}

// addLine adds a line to a plot. It shows the rate of a count, per second, between each sample and the next.
func addLine(target *plot.Plot, run *Run, lineColor color.Color, count func(*sample) float64) error {
	var points plotter.XYs
	startedAt := run.samples[0].takenAt
	for i := 1; i < len(run.samples); i++ {
		before := &run.samples[i-1]
		after := &run.samples[i]
		span := after.takenAt.Sub(before.takenAt).Seconds()
		if span < sampleInterval.Seconds()/2 {
			continue // the last sample is taken soon after the one before it
		}
		points = append(points, plotter.XY{X: after.takenAt.Sub(startedAt).Seconds(), Y: (count(after) - count(before)) / span})
	}
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = lineColor
	line.Width = vg.Points(1.5)
	target.Add(line)
	target.Legend.Add(string(run.Mechanism), line)
	return nil
}
