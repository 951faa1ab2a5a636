package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"
	"text/template"
)

// This file owns the page: data and assumptions are read, reckoned and put into
// the template. The same files give the same page, byte for byte.

// The files of the data directory, beside the JSON of the runs.
const (
	assumptionsFile = "assumptions.toml"
	templateFile    = "page.md.tmpl"
)

// Page is what the template is filled from.
type Page struct {
	Target      Target
	Assumed     Assumed
	Mechanisms  Mechanisms
	Assumptions []*Assumption
	Rates       Rates
	Flow        Flow
	Rows        []ComparedRow
	Loads       []Load
	Lines       []SlopeLine
	Runs        []Slopes // the slope runs, the untouched program's first
	Scale       []ScaleTable
	HealChanges Quantity // bytes of the changes missed in an hour
	HealPaced   Quantity // and how long they take at the target's bytes a second
	Snapshot    Quantity // bytes of a snapshot
	SnapshotGz  Quantity
	ListPaced   Quantity // and how long it takes at that rate
	GzipPaced   Quantity
	TasksPerJob Quantity // on average, by the assumed peak factor
	TaskTime    Quantity // mean time of a task, by Little's law
}

// ComparedRow is a need by the latest runs, with the headroom of the program
// before its slopes were mended.
type ComparedRow struct {
	Row
	Before string
}

// SlopeLine is one series of slopes, before and after.
type SlopeLine struct {
	Name   SeriesName
	Axis   Axis
	Before *SlopeFit
	After  *SlopeFit // nil: measured once only
}

// SlopeFit is a fitted series with its value at the largest size.
type SlopeFit struct {
	Fit
	Unit    Unit
	Largest Quantity
}

// FixedText, SlopeText and ErrorText tell the fit; the slope is for a thousand.
func (f *SlopeFit) FixedText() string {
	return Quantity{Value: f.Fixed, Unit: f.Unit}.String()
}

// SlopeText tells the slope for a thousand more.
func (f *SlopeFit) SlopeText() string {
	const thousand = 1000
	return Quantity{Value: f.Slope * thousand, Unit: f.Unit}.String()
}

// ResidualText tells the residual in percent.
func (f *SlopeFit) ResidualText() string {
	text := headroomText(f.Residual*100) + "%"
	if !f.Linear() {
		text += ", not linear"
	}
	return text
}

// SpreadText tells the spread of the plays in percent.
func (f *SlopeFit) SpreadText() string { return headroomText(f.Spread*100) + "%" }

// fitOf fits a series of a file.
func fitOf(s *Series) (*SlopeFit, error) {
	fit, err := FitSeries(s.Points)
	if err != nil {
		return nil, err
	}
	last := s.Points[0]
	for _, p := range s.Points {
		if p.Size > last.Size {
			last = p
		}
	}
	return &SlopeFit{Fit: fit, Unit: s.Unit, Largest: Quantity{Value: Median(last.Plays), Unit: s.Unit, Mark: Measured}}, nil
}

// slopeLines puts the series of both files side by side; after is nil where the
// later program was not measured.
func slopeLines(before, after *Slopes) (lines []SlopeLine, err error) {
	for i := range before.Series {
		series := &before.Series[i]
		line := SlopeLine{Name: series.Name, Axis: series.Axis}
		if line.Before, err = fitOf(series); err != nil {
			return nil, err
		}
		if after != nil && after.series(series.Name) != nil {
			if line.After, err = fitOf(after.series(series.Name)); err != nil {
				return nil, err
			}
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// loadPage reads a data directory and reckons the page.
func loadPage(dir string) (p Page, err error) {
	assumptions, err := ReadAssumptions(filepath.Join(dir, assumptionsFile))
	if err != nil {
		return p, err
	}
	before, err := ReadSlopes(filepath.Join(dir, beforeFile))
	if err != nil {
		return p, err
	}
	first := Basis{Assumptions: assumptions, Slopes: before, File: beforeFile}
	latest := first
	first.Mechanisms = assumptions.Before
	p.Runs = []Slopes{before}
	after, err := ReadSlopes(filepath.Join(dir, slopesFile))
	switch {
	case err == nil:
		latest = Basis{Assumptions: assumptions, Slopes: after, File: slopesFile}
		p.Runs = append(p.Runs, after)
	case !errors.Is(err, fs.ErrNotExist):
		return p, err
	}
	var later *Slopes
	if len(p.Runs) > 1 {
		later = &latest.Slopes
	}
	if p.Lines, err = slopeLines(&first.Slopes, later); err != nil {
		return p, err
	}
	if latest.Scale, err = readScale(dir); err != nil {
		return p, err
	}
	p.Scale = scaleTables(latest.Scale)
	if p.Rows, err = comparedRows(&first, &latest); err != nil {
		return p, err
	}
	return p, p.reckon(&latest)
}

// comparedRows sets the headroom of before beside the needs of the latest runs.
func comparedRows(before, latest *Basis) (rows []ComparedRow, err error) {
	old, err := before.Needs()
	if err != nil {
		return nil, err
	}
	headrooms := map[string]string{}
	for _, r := range old {
		headrooms[string(r.Role)+r.What] = r.HeadroomText()
	}
	needs, err := latest.Needs()
	if err != nil {
		return nil, err
	}
	for _, r := range needs {
		rows = append(rows, ComparedRow{Row: r, Before: headrooms[string(r.Role)+r.What]})
	}
	return rows, nil
}

// reckon fills in what the text of the page tells.
func (p *Page) reckon(b *Basis) (err error) {
	m, err := b.measured()
	if err != nil {
		return err
	}
	if p.Loads, err = b.Loads(); err != nil {
		return err
	}
	p.Target, p.Assumed, p.Mechanisms = b.Target, b.Assumed, b.Mechanisms
	p.Assumptions = b.Assumed.list()
	p.Rates = b.rates()
	p.Flow = b.flow(m, p.Rates)
	pace := given(b.Target.DispatcherBytes, UnitBytesPerSecond)
	p.HealChanges = b.missedBytes(m, p.Rates)
	p.HealPaced = p.HealChanges.Over(pace, UnitSeconds)
	p.Snapshot, p.SnapshotGz = m.snapshot, m.snapshotGzip
	p.ListPaced = m.snapshot.Over(pace, UnitSeconds)
	p.GzipPaced = m.snapshotGzip.Over(pace, UnitSeconds)
	meanStarts := given(b.Target.PeakStarts, UnitPerSecond).Over(b.Assumed.StartPeakFactor.Quantity(), UnitPerSecond)
	p.TasksPerJob = meanStarts.Times(count(secondsPerDay), UnitPerDay).Over(given(b.Target.JobsPerDay, UnitPerDay), UnitCount)
	p.TaskTime = count(b.Target.RunningTasks).Over(meanStarts, UnitSeconds)
	return nil
}

// Write makes the page of a data directory.
func Write(dir string) ([]byte, error) {
	page, err := loadPage(dir)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, templateFile)
	t, err := template.New(templateFile).Option("missingkey=error").Funcs(template.FuncMap{
		"number":  exact,
		"counted": counted,
		"divided": func(a, b float64) float64 { return a / b },
	}).ParseFiles(path)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := t.Execute(&out, page); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Need finds the need whose description begins with some words.
func (p Page) Need(role Role, what string) (ComparedRow, error) {
	for _, r := range p.Rows {
		if r.Role == role && strings.HasPrefix(r.What, what) {
			return r, nil
		}
	}
	return ComparedRow{}, fmt.Errorf("no need of the %s begins with %q", role, what)
}

// ScaleNeed tells what the scale runs say of a role, each mechanism on its own.
func (p Page) ScaleNeed(role Role, what string) string {
	var found []string
	for _, r := range p.Rows {
		_, described, ok := strings.Cut(r.What, ": ")
		if ok && r.Role == role && strings.HasPrefix(r.What, scaleWords) && strings.HasPrefix(described, what) {
			found = append(found, fmt.Sprintf("%s (%s)", r.NeedText(), r.What))
		}
	}
	if len(found) == 0 {
		return "not measured"
	}
	return strings.Join(found, "; ")
}

// Of tells the value of a series of the latest run at its largest size.
func (p Page) Of(name SeriesName) (Quantity, error) {
	for _, line := range p.Lines {
		switch {
		case line.Name != name:
		case line.After != nil:
			return line.After.Largest, nil
		default:
			return line.Before.Largest, nil
		}
	}
	return Quantity{}, fmt.Errorf("no series %s", name)
}
