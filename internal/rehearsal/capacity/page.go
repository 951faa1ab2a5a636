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

// The files of the data directory, beside the JSON of the runs.
const (
	assumptionsFile = "assumptions.toml"
	templateFile    = "page.md.tmpl"
)

// Page is the data of the template, which refers to its fields and methods by name.
type Page struct {
	Target           Target
	Assumed          Assumed
	Mechanisms       Mechanisms
	Assumptions      []*Assumption
	Rates            Rates
	Flow             Flow
	Rows             []ComparedRow
	Loads            []Load
	Lines            []SlopeLine
	Runs             []Slopes // the slope runs, the earliest first
	Scale            []ScaleTable
	MissedBytes      Quantity // bytes of the changes missed in an hour
	MissedTime       Quantity // how long they take at the target's bytes per second
	Snapshot         Quantity // bytes of a snapshot
	SnapshotGzip     Quantity
	SnapshotTime     Quantity // how long it takes at that rate
	SnapshotGzipTime Quantity
	TasksPerJob      Quantity // on average, by the assumed peak factor
	TaskTime         Quantity // mean time of a task, by Little's law
}

// ComparedRow is a need by the latest runs, with the headroom by the earlier ones.
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

// FixedText returns the part of the fit that does not depend on the size.
func (f *SlopeFit) FixedText() string {
	return Quantity{Value: f.Fixed, Unit: f.Unit}.String()
}

// SlopeText returns the slope for a thousand more.
func (f *SlopeFit) SlopeText() string {
	const thousand = 1000
	return Quantity{Value: f.Slope * thousand, Unit: f.Unit}.String()
}

// ResidualText returns the residual in percent.
func (f *SlopeFit) ResidualText() string {
	text := headroomText(f.Residual*100) + "%"
	if !f.Linear() {
		text += ", not linear"
	}
	return text
}

// SpreadText returns the spread of the repetitions in percent.
func (f *SlopeFit) SpreadText() string { return headroomText(f.Spread*100) + "%" }

// fitOfSeries fits a line to a series.
func fitOfSeries(series *Series) (*SlopeFit, error) {
	fit, err := FitSeries(series.Points)
	if err != nil {
		return nil, err
	}
	last := series.Points[0]
	for _, point := range series.Points {
		if point.Size > last.Size {
			last = point
		}
	}
	return &SlopeFit{Fit: fit, Unit: series.Unit, Largest: Quantity{Value: Median(last.Values), Unit: series.Unit, Mark: Measured}}, nil
}

// slopeLines pairs the series of both files; after is nil where the later program was not measured.
func slopeLines(before, after *Slopes) (lines []SlopeLine, err error) {
	for i := range before.Series {
		series := &before.Series[i]
		line := SlopeLine{Name: series.Name, Axis: series.Axis}
		line.Before, err = fitOfSeries(series)
		if err != nil {
			return nil, err
		}
		if after != nil && after.series(series.Name) != nil {
			line.After, err = fitOfSeries(after.series(series.Name))
			if err != nil {
				return nil, err
			}
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// loadPage reads a data directory and computes the page.
func loadPage(dir string) (Page, error) {
	before, latest, err := readBases(dir)
	if err != nil {
		return Page{}, err
	}
	page := Page{Runs: []Slopes{before.Slopes}, Scale: scaleTables(latest.Scale)}
	var after *Slopes
	if latest.File == slopesFile {
		page.Runs = append(page.Runs, latest.Slopes)
		after = &latest.Slopes
	}
	page.Lines, err = slopeLines(&before.Slopes, after)
	if err != nil {
		return Page{}, err
	}
	page.Rows, err = comparedRows(&before, &latest)
	if err != nil {
		return Page{}, err
	}
	if err := page.computeFigures(&latest); err != nil {
		return Page{}, err
	}
	return page, nil
}

// readBases reads the data of the program before its slopes were improved, and the latest data, which has the scale runs.
// Both have the same slopes if there is no later file of them.
func readBases(dir string) (before, latest Basis, err error) {
	assumptions, err := ReadAssumptions(filepath.Join(dir, assumptionsFile))
	if err != nil {
		return before, latest, err
	}
	slopes, err := ReadSlopes(filepath.Join(dir, slopesBeforeFile))
	if err != nil {
		return before, latest, err
	}
	before = Basis{Assumptions: assumptions, Slopes: slopes, File: slopesBeforeFile}
	latest = before
	before.Mechanisms = assumptions.Before
	later, err := ReadSlopes(filepath.Join(dir, slopesFile))
	switch {
	case err == nil:
		latest.Slopes = later
		latest.File = slopesFile
	case !errors.Is(err, fs.ErrNotExist):
		return before, latest, err
	}
	latest.Scale, err = readScale(dir)
	return before, latest, err
}

// comparedRows pairs the needs of the latest runs with the headroom of the earlier ones.
func comparedRows(before, latest *Basis) (rows []ComparedRow, err error) {
	previous, err := before.Needs()
	if err != nil {
		return nil, err
	}
	headrooms := map[string]string{}
	for _, row := range previous {
		headrooms[string(row.Role)+row.What] = row.HeadroomText()
	}
	needs, err := latest.Needs()
	if err != nil {
		return nil, err
	}
	for _, need := range needs {
		rows = append(rows, ComparedRow{Row: need, Before: headrooms[string(need.Role)+need.What]})
	}
	return rows, nil
}

// computeFigures computes the figures in the text of the page.
func (p *Page) computeFigures(basis *Basis) (err error) {
	runs, err := basis.measured()
	if err != nil {
		return err
	}
	p.Loads, err = basis.Loads()
	if err != nil {
		return err
	}
	p.Target = basis.Target
	p.Assumed = basis.Assumed
	p.Mechanisms = basis.Mechanisms
	p.Assumptions = basis.Assumed.assumptions()
	p.Rates = basis.rates()
	p.Flow = basis.flow(runs, p.Rates)
	allowedRate := given(basis.Target.DispatcherBytes, UnitBytesPerSecond)
	p.MissedBytes = basis.missedBytes(runs, p.Rates)
	p.MissedTime = p.MissedBytes.Over(allowedRate, UnitSeconds)
	p.Snapshot = runs.snapshot
	p.SnapshotGzip = runs.snapshotGzip
	p.SnapshotTime = runs.snapshot.Over(allowedRate, UnitSeconds)
	p.SnapshotGzipTime = runs.snapshotGzip.Over(allowedRate, UnitSeconds)
	meanStarts := given(basis.Target.PeakStarts, UnitPerSecond).Over(basis.Assumed.StartPeakFactor.Quantity(), UnitPerSecond)
	p.TasksPerJob = meanStarts.Times(count(secondsPerDay), UnitPerDay).Over(given(basis.Target.JobsPerDay, UnitPerDay), UnitCount)
	p.TaskTime = count(basis.Target.RunningTasks).Over(meanStarts, UnitSeconds)
	return nil
}

// Write returns the page of a data directory. The same files give the same page, byte for byte.
func Write(dir string) ([]byte, error) {
	page, err := loadPage(dir)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, templateFile)
	parsed, err := template.New(templateFile).Option("missingkey=error").Funcs(template.FuncMap{
		"number":  exact,
		"counted": counted,
		"divided": func(a, b float64) float64 { return a / b },
	}).ParseFiles(path)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := parsed.Execute(&out, page); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Need returns the need of a role whose description begins with what.
func (p Page) Need(role Role, what string) (ComparedRow, error) {
	for _, row := range p.Rows {
		if row.Role == role && strings.HasPrefix(row.What, what) {
			return row, nil
		}
	}
	return ComparedRow{}, fmt.Errorf("no need of the %s begins with %q", role, what)
}

// ScaleNeed returns a need of a role by the scale runs, each mechanism on its own.
func (p Page) ScaleNeed(role Role, what string) string {
	var found []string
	for _, row := range p.Rows {
		_, described, ok := strings.Cut(row.What, ": ")
		if ok && row.Role == role && strings.HasPrefix(row.What, scaleNeedPrefix) && strings.HasPrefix(described, what) {
			found = append(found, fmt.Sprintf("%s (%s)", row.NeedText(), row.What))
		}
	}
	if len(found) == 0 {
		return "not measured"
	}
	return strings.Join(found, "; ")
}

// ValueOf returns the value of a series of the latest run at its largest size.
func (p Page) ValueOf(name SeriesName) (Quantity, error) {
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
