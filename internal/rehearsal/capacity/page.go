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

// The files of the data directory, apart from the JSON files of the runs.
const (
	assumptionsFile = "assumptions.toml"
	templateFile    = "page.md.tmpl"
)

// Page is the data of the page's template, which refers to the fields and methods by name.
type Page struct {
	Target           Target
	Assumed          Assumed
	Mechanisms       Mechanisms
	Assumptions      []*Assumption
	Rates            Rates
	Flow             Flow
	Rows             []ComparedRow // needs, in ascending order of headroom
	Loads            []Load
	Lines            []SlopeLine  // one for each series of the slope runs
	Runs             []Slopes     // the slope runs, the earliest first
	Scale            []ScaleTable // one for each scenario of the scale runs
	MissedBytes      Quantity     // bytes of the changes that a dispatcher misses while its region is cut off
	MissedTime       Quantity     // how long MissedBytes take at the target's bytes per second
	Snapshot         Quantity     // bytes of a snapshot
	SnapshotGzip     Quantity     // bytes of a snapshot compressed by gzip
	SnapshotTime     Quantity     // how long Snapshot takes at the target's bytes per second
	SnapshotGzipTime Quantity     // how long SnapshotGzip takes at the target's bytes per second
	TasksPerJob      Quantity     // mean, from the assumed ratio of peak to mean starts
	TaskTime         Quantity     // mean running time of a task, by Little's law
}

// ComparedRow is a need computed from the latest slope runs, together with the headroom computed from the earlier ones.
type ComparedRow struct {
	Row
	Before string // headroom computed from the earlier slope runs
}

// SlopeLine is the fit of one series in the earlier and in the latest slope runs.
type SlopeLine struct {
	Name   SeriesName
	Axis   Axis
	Before *SlopeFit
	After  *SlopeFit // nil if the latest runs do not have the series
}

// SlopeFit is the line fitted to a series, with the measured value at the largest size.
type SlopeFit struct {
	Fit
	Unit    Unit
	Largest Quantity
}

// FixedText returns the part of the fit that does not depend on the size, as text.
func (f *SlopeFit) FixedText() string {
	return Quantity{Value: f.Fixed, Unit: f.Unit}.String()
}

// SlopeText returns what a thousand more workers, teams or tasks add, as text.
func (f *SlopeFit) SlopeText() string {
	const thousand = 1000
	return Quantity{Value: f.Slope * thousand, Unit: f.Unit}.String()
}

// ResidualText returns the residual in percent, and says so if the series is not linear.
func (f *SlopeFit) ResidualText() string {
	text := formatHeadroom(f.Residual*100) + "%"
	if !f.Linear() {
		text += ", not linear"
	}
	return text
}

// SpreadText returns the spread of the repetitions in percent.
func (f *SlopeFit) SpreadText() string { return formatHeadroom(f.Spread*100) + "%" }

// fitSlope fits a line to a series and returns it with the median at the largest size.
func fitSlope(series *Series) (*SlopeFit, error) {
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

// slopeLines pairs the series of the earlier and the latest slope runs. after is nil if there are no later runs.
func slopeLines(before, after *Slopes) (lines []SlopeLine, err error) {
	for i := range before.Series {
		series := &before.Series[i]
		line := SlopeLine{Name: series.Name, Axis: series.Axis}
		line.Before, err = fitSlope(series)
		if err != nil {
			return nil, err
		}
		if after != nil && after.series(series.Name) != nil {
			line.After, err = fitSlope(after.series(series.Name))
			if err != nil {
				return nil, err
			}
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// loadPage reads a data directory and computes the data of the page.
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

// readBases returns two bases: before, with the slope runs of the program before its costs were reduced, and latest, with
// the latest slope runs and the scale runs. Both have the same slope runs if there is no file of later ones.
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

// comparedRows returns the needs computed from the latest basis, each with its headroom computed from the earlier basis.
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

// computeFigures sets the target, the assumptions and all figures that are computed from the latest basis.
func (p *Page) computeFigures(basis *Basis) (err error) {
	measured, err := basis.figuresAtTarget()
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
	p.Assumptions = basis.Assumed.namedAssumptions()
	p.Rates = basis.rates()
	p.Flow = basis.flow(measured, p.Rates)
	allowedRate := given(basis.Target.DispatcherBytes, UnitBytesPerSecond)
	p.MissedBytes = basis.missedBytes(measured, p.Rates)
	p.MissedTime = p.MissedBytes.Over(allowedRate, UnitSeconds)
	p.Snapshot = measured.snapshot
	p.SnapshotGzip = measured.snapshotGzip
	p.SnapshotTime = measured.snapshot.Over(allowedRate, UnitSeconds)
	p.SnapshotGzipTime = measured.snapshotGzip.Over(allowedRate, UnitSeconds)
	meanStarts := given(basis.Target.PeakStarts, UnitPerSecond).Over(basis.Assumed.StartPeakFactor.Quantity(), UnitPerSecond)
	p.TasksPerJob = meanStarts.Times(count(secondsPerDay), UnitPerDay).Over(given(basis.Target.JobsPerDay, UnitPerDay), UnitCount)
	p.TaskTime = count(basis.Target.RunningTasks).Over(meanStarts, UnitSeconds)
	return nil
}

// Write returns the page for a data directory. The same files always give the same page, byte for byte.
func Write(dir string) ([]byte, error) {
	page, err := loadPage(dir)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, templateFile)
	parsed, err := template.New(templateFile).Option("missingkey=error").Funcs(template.FuncMap{
		"number":  formatExact,
		"counted": formatCount,
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

// Need returns the first need of a role whose description begins with what.
func (p Page) Need(role Role, what string) (ComparedRow, error) {
	for _, row := range p.Rows {
		if row.Role == role && strings.HasPrefix(row.What, what) {
			return row, nil
		}
	}
	return ComparedRow{}, fmt.Errorf("no need of the %s begins with %q", role, what)
}

// ScaleNeed returns, as text, those needs of a role that were measured by the scale runs and whose description, after the
// name of the mechanism, begins with what. There is one for each mechanism.
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

// ValueOf returns the value of a series at its largest size, from the latest runs that have the series.
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
