package recording

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// This file owns the import: sources in, one canonical recording out, in two
// passes with a spool between them. Every entry read is counted once, as
// accepted, malformed, unmapped or ignored. It must never write a byte of a
// member's number, a token, a query or a body.

// Input is one file of a source. Files of one source name belong together, as a
// log and its rotated parts do; they are put in the order of their first stamps.
type Input struct {
	Source string
	File   string // its base name
	Reader      io.Reader
}

// Options say how to import.
type Options struct {
	Rules          *Rules
	RulesText      []byte // hashed into the file
	Seed           uint64
	Format         string         // as Compile takes it, for all sources; empty: found out
	Zone           *time.Location // of stamps that name none; nil: UTC
	Offsets        map[string]time.Duration
	KeepDuplicates bool   // of requests that two sources saw, keep both
	Secret         []byte // keys pseudonyms, so that two imports agree; empty: made from the input
	Spool          Spool
	OnReject         func(Reject)      // told each malformed entry; may be nil
	OnProgress       func(bytes int64) // told now and then how many packed bytes were read; may be nil
	MaxListedRejects  int               // how many the report lists; 0: 1000
}

// Reject is a malformed entry. It holds no text of the entry.
type Reject struct {
	Source string `json:"source"` // the file's name
	Line   int    `json:"line"`   // from 1; of a HAR file the entry
	Offset int64  `json:"offset"` // of its first byte, unpacked
	Reason    string `json:"why"`
}

// Counts add up: Read = Accepted + Malformed + Unmapped + Ignored.
type Counts struct {
	Read      uint64 `json:"read"`
	Accepted  uint64 `json:"accepted"`
	Malformed uint64 `json:"malformed"`
	Unmapped  uint64 `json:"unmapped"`
	Ignored   uint64 `json:"ignored"`
	Repaired  uint64 `json:"repaired"` // of the accepted
}

// Balanced checks that every entry read is told.
func (c *Counts) Balanced() bool { return c.Read == c.Accepted+c.Malformed+c.Unmapped+c.Ignored }

// SourceReport tells of one source.
type SourceReport struct {
	Name   string   `json:"name"`
	Files  []string `json:"files"`
	SHA256 string   `json:"sha256"`
	Format string   `json:"format"`
	Stamp  string   `json:"stamp"` // arrival or end
	Counts
	OffsetUs   int64  `json:"offset_us"`
	Estimated  bool   `json:"offset_estimated"`
	Pairs      int    `json:"offset_pairs,omitempty"`
	SpreadUs   int64  `json:"offset_spread_us,omitempty"`
	ClockSteps int    `json:"clock_steps"`
	SteppedUs  int64  `json:"clock_stepped_us"`
	OutlierTimestamps  int    `json:"odd_stamps"`
	Spread     int    `json:"spread_within_second"`
	CrowdedSeconds    int    `json:"crowded_seconds"`
	Reordered  bool   `json:"files_put_in_order"`
	Duplicates uint64 `json:"seen_by_two_sources"`
	Truncation        string `json:"cut,omitempty"`
}

// ClassReport tells of one class.
type ClassReport struct {
	Entries       uint64 `json:"entries"`
	Recorded      uint64 `json:"durations_recorded"`
	DrawnRecorded uint64 `json:"durations_drawn_from_recorded"`
	DrawnRules    uint64 `json:"durations_drawn_from_rules"`
	SyntheticKeys    uint64 `json:"keys_made_up"`
}

// Report tells of an import.
type Report struct {
	Counts
	Rejects     []Reject                `json:"rejects"`
	UnlistedRejects uint64                  `json:"rejects_not_listed"`
	Repairs     map[string]uint64       `json:"repairs"`
	IgnoredBy   map[string]uint64       `json:"ignored_by"`
	Classes     map[string]*ClassReport `json:"classes"`
	Sources     []*SourceReport         `json:"sources"`
	SyntheticKeys  string                  `json:"made_up_keys"`
	Pseudonyms  string                  `json:"pseudonyms"`
	Start       time.Time               `json:"start"`
	SpanSeconds float64                 `json:"span_s"`
	InputBytes  int64                   `json:"input_bytes"`
}

// Truncated tells whether a source ended early.
func (r *Report) Truncated() bool {
	return slices.ContainsFunc(r.Sources, func(s *SourceReport) bool { return s.Truncation != "" })
}

// ErrNoEntries says that no entry was accepted; nothing was written.
var ErrNoEntries = errors.New("no entry that a rule fits")

// newRandomStream is a random source of its own for each purpose, so that one more draw
// in one place changes nothing in another.
func newRandomStream(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// file is an input that has been opened.
type file struct {
	Input
	digest *hashingReader
	in     *bufio.Reader
	format *Format
	cut    error
	first  int64
	order  int
}

// source is one of them while it is read.
type source struct {
	report   *SourceReport
	files    []*file
	clock    clockCorrector
	spread   secondSpreader
	sorter   sorter
	seen     *signatureSample
	earliest int64
	latest   int64
	whole    bool // stamps of whole seconds came
	seq      uint64
	offset   ClockOffset
}

type importer struct {
	o       *Options
	report  *Report
	sources []*source
	runs    int // on the spool
	known   []reservoir
	rng     *rand.Rand

	counted, drawn, madeUp []uint64 // by rule
	repaired               [32]uint64

	bytes int64
	told  int64
}

// Import reads all inputs and writes the canonical recording. The report is
// whole whenever err is nil or ErrNothing.
func Import(inputs []Input, o Options, out io.Writer) (*Report, error) {
	if len(inputs) == 0 {
		return nil, errors.New("no input")
	}
	if o.MaxListedRejects == 0 {
		o.MaxListedRejects = 1000
	}
	m := &importer{o: &o, rng: newRandomStream(o.Seed, "recorded durations"), known: make([]reservoir, len(o.Rules.Classes))}
	n := len(o.Rules.Classes)
	m.counted, m.drawn, m.madeUp = make([]uint64, n), make([]uint64, n), make([]uint64, n)
	m.report = &Report{Rejects: []Reject{}, Repairs: map[string]uint64{}, IgnoredBy: map[string]uint64{},
		Classes: map[string]*ClassReport{}, SyntheticKeys: o.Rules.Redacted.Distribution(), Pseudonyms: "keyed by the input"}
	if len(o.Secret) > 0 {
		m.report.Pseudonyms = "keyed by a given secret"
	}
	if err := m.open(inputs); err != nil {
		return nil, err
	}
	for i := range m.sources {
		if err := m.read(i); err != nil {
			return nil, err
		}
	}
	if err := m.place(); err != nil {
		return nil, err
	}
	return m.report, m.write(out)
}

// open finds sources, formats, and the order of files.
func (m *importer) open(inputs []Input) error {
	byName := map[string]*source{}
	for i, in := range inputs {
		f := &file{Input: in, digest: newHashingReader(in.Reader), first: math.MaxInt64, order: i}
		s := byName[in.Source]
		if s == nil {
			s = &source{report: &SourceReport{Name: in.Source}, earliest: math.MaxInt64}
			byName[in.Source] = s
			m.sources = append(m.sources, s)
			m.report.Sources = append(m.report.Sources, s.report)
		}
		s.files = append(s.files, f)
		var head []byte
		if f.in, f.cut = unpack(f.digest); f.cut == nil {
			head, f.cut = f.in.Peek(detectionBytes)
			if errors.Is(f.cut, io.EOF) && !errors.Is(f.cut, io.ErrUnexpectedEOF) || len(head) > 0 {
				f.cut = nil // what there is will be read; a fault is met again there
			}
		}
		var err error
		if m.o.Format != "" && m.o.Format != "auto" {
			f.format, err = Compile(m.o.Format, m.o.Zone)
		} else {
			f.format, err = detectFormat(string(head), m.o.Zone)
		}
		if err != nil {
			return err
		}
		f.first = firstStamp(string(head), f.format)
	}
	for name := range m.o.Offsets {
		if byName[name] == nil {
			return fmt.Errorf("offset: no source is called %q", name)
		}
	}
	for _, s := range m.sources {
		slices.SortStableFunc(s.files, func(a, b *file) int {
			if a.first < b.first {
				return -1
			} else if a.first > b.first {
				return 1
			}
			return 0
		})
		for i, f := range s.files {
			s.report.Reordered = s.report.Reordered || i > 0 && f.order < s.files[i-1].order
		}
	}
	return nil
}

func firstStamp(head string, f *Format) int64 {
	if f.HAR {
		return math.MaxInt64
	}
	for line := range strings.SplitSeq(strings.TrimPrefix(head, "\xef\xbb\xbf"), "\n") {
		var r RawEntry
		if f.Parse(strings.TrimRight(line, "\r"), &r) == nil {
			return r.Timestamp
		}
	}
	return math.MaxInt64
}

// read takes one source through its clock to the spool.
func (m *importer) read(i int) error {
	s := m.sources[i]
	s.sorter = sorter{spool: m.o.Spool, nextRun: &m.runs}
	s.spread = secondSpreader{random: newRandomStream(m.o.Seed, fmt.Sprintf("seconds of source %d", i)), emit: func(p pendingEntry) { m.settle(s, p) }}
	s.clock.emit = s.spread.add
	if len(m.sources) > 1 {
		s.seen = newSignatureSample()
	}
	all := sha256.New()
	for _, f := range s.files {
		r := s.report
		r.Files = append(r.Files, f.File)
		r.Format, r.Stamp = f.format.Name, "end"
		if f.format.StampsArrival {
			r.Stamp = "arrival"
		}
		s.clock.unordered = f.format.HAR
		err := f.cut
		each := func(at position, raw *RawEntry, err error) error { return m.take(s, f, at, raw, err) }
		switch {
		case err != nil:
		case f.format.HAR:
			err = readHAR(f.in, each)
		default:
			err = readLines(f.in, f.format, each)
		}
		if s.sorter.err != nil {
			return s.sorter.err
		}
		if _, rest := io.Copy(io.Discard, f.digest); err == nil { // the rest counts for the hash
			err = rest
		}
		if err != nil {
			r.Truncation = strings.TrimPrefix(r.Truncation+"; "+fmt.Sprintf("%s: %v, after %d bytes", f.File, err, f.digest.bytes), "; ")
		}
		s.clock.acceptSuspects()
		s.spread.flush()
		all.Write(f.digest.full.Sum(nil))
		m.report.InputBytes += f.digest.bytes
		m.progress(0, true)
	}
	if len(s.files) == 1 {
		s.report.SHA256 = hex.EncodeToString(s.files[0].digest.full.Sum(nil))
	} else {
		s.report.SHA256 = hex.EncodeToString(all.Sum(nil))
	}
	s.report.ClockSteps, s.report.SteppedUs, s.report.OutlierTimestamps = s.clock.StepsBack, s.clock.SteppedMicroseconds, s.clock.Outliers
	s.report.Spread, s.report.CrowdedSeconds = s.spread.Spread, s.spread.CrowdedSeconds
	if err := s.sorter.close(); err != nil {
		return err
	}
	var err error
	s.sorter.runs, err = compactRuns(m.o.Spool, &m.runs, s.sorter.runs, max(1, maxMergedRuns/len(m.sources)))
	return err
}

func (m *importer) progress(n int64, now bool) {
	const often = 8 << 20
	if m.o.OnProgress == nil {
		return
	}
	if m.bytes += n; now || m.bytes-m.told > often {
		m.told = m.bytes
		total := int64(0)
		for _, s := range m.sources {
			for _, f := range s.files {
				total += f.digest.bytes
			}
		}
		m.o.OnProgress(total)
	}
}

// take counts one entry, and maps it to its class.
func (m *importer) take(s *source, f *file, at position, raw *RawEntry, err error) error {
	c := &s.report.Counts
	c.Read++
	if err != nil {
		c.Malformed++
		r := Reject{Source: f.File, Line: at.line, Offset: at.offset, Reason: err.Error()}
		if m.o.OnReject != nil {
			m.o.OnReject(r)
		}
		if len(m.report.Rejects) < m.o.MaxListedRejects {
			m.report.Rejects = append(m.report.Rejects, r)
		} else {
			m.report.UnlistedRejects++
		}
		return nil
	}
	if raw.Ignored != "" {
		c.Ignored++
		m.report.IgnoredBy[raw.Ignored]++
		return nil
	}
	path, _, _ := strings.Cut(raw.Target, "?")
	rule, token := m.o.Rules.Find(raw.Method, path, raw.Client)
	if rule < 0 {
		c.Unmapped++
		return nil
	}
	c.Accepted++
	p := pendingEntry{timestamp: raw.Timestamp, sequence: s.seq, duration: raw.Duration, serviceTime: raw.ServiceTime, resolution: raw.Resolution, class: int32(rule),
		status: int32(raw.Status), bodyBytes: int32(min(raw.BodyBytes, math.MaxInt32)), repairs: raw.Repairs, stampsArrival: raw.StampsArrival,
		foldOffset: raw.FoldOffset}
	s.seq++
	switch {
	case m.o.Rules.Classes[rule].KeySource == "none":
		p.noKey = true
	case m.o.Rules.Redacted.isRedacted(token):
		p.repairs |= SyntheticKey
	default:
		p.key = xxhash.Sum64String(token) | 1
	}
	if raw.RequestID != "" {
		p.signature = xxhash.Sum64String(raw.RequestID)
	} else {
		p.signature = xxhash.Sum64String(raw.Target)*31 + xxhash.Sum64String(raw.Method) + uint64(raw.Status)*0x9e3779b97f4a7c15
	}
	s.whole = s.whole || raw.Resolution >= 1_000_000
	s.clock.add(p)
	m.progress(256, false)
	return s.sorter.err
}

// settle takes an entry whose stamp is final: it has an arrival now.
func (m *importer) settle(s *source, p pendingEntry) {
	if !p.stampsArrival {
		if p.duration >= 0 {
			p.timestamp -= p.duration
		} else {
			p.repairs |= EndTakenAsArrival
		}
	}
	if s.seen != nil {
		s.seen.add(p.signature, p.timestamp)
	}
	s.earliest, s.latest = min(s.earliest, p.timestamp), max(s.latest, p.timestamp)
	if len(m.sources) == 1 {
		m.count(s.report, &p)
	}
	if base := p.base(); base >= 0 {
		m.known[p.class].add(base, m.rng)
	}
	s.sorter.add(p)
}

// base is what the work is told from: the servers' part, else the whole duration.
func (p *pendingEntry) base() int64 {
	if p.serviceTime >= 0 {
		return p.serviceTime
	}
	return p.duration
}

// reservoir keeps an even sample of a class's recorded durations.
type reservoir struct {
	values []int64
	seen   int
}

func (r *reservoir) add(v int64, rng *rand.Rand) {
	const most = 4096
	if r.seen++; len(r.values) < most {
		r.values = append(r.values, v)
	} else if i := rng.IntN(r.seen); i < most {
		r.values[i] = v
	}
}

// place finds how far the sources' clocks lie apart.
func (m *importer) place() error {
	for i, s := range m.sources {
		if d, ok := m.o.Offsets[s.report.Name]; ok {
			s.offset = ClockOffset{Microseconds: d.Microseconds()}
		} else if i > 0 {
			for _, ref := range m.sources[:i] {
				if o, ok := estimateOffset(ref.seen, s.seen); ok {
					o.Microseconds += ref.offset.Microseconds
					s.offset = o
					break
				}
			}
		}
		s.report.OffsetUs, s.report.Estimated = s.offset.Microseconds, s.offset.Estimated
		s.report.Pairs, s.report.SpreadUs = s.offset.Pairs, s.offset.Spread
	}
	for _, s := range m.sources {
		s.seen = nil
	}
	return nil
}

// pass calls each with all entries in order; again: it is a request that
// another source told before.
func (m *importer) pass(each func(source int, p *pendingEntry, again bool) error) error {
	var runs []*runReader
	for i, s := range m.sources {
		for _, n := range s.sorter.runs {
			r, err := openRun(m.o.Spool, n, i, s.offset.Microseconds)
			if err != nil {
				return err
			}
			runs = append(runs, r)
		}
	}
	twins := twins{window: make([]int64, len(m.sources)), seen: map[uint64][]sawn{}}
	for i, s := range m.sources {
		_, given := m.o.Offsets[s.report.Name]
		if (s.offset.Estimated || given || i == 0) && len(m.sources) > 1 && !m.o.KeepDuplicates {
			twins.window[i] = max(2*s.offset.Spread, 250_000)
			if s.whole {
				twins.window[i] += 1_000_000
			}
		}
	}
	return mergeRuns(runs, func(r *runReader) error {
		return each(r.source, &r.entry, twins.again(r.source, &r.entry))
	})
}

// twins finds requests that two sources told, by what both would say of it
// within a time. It remembers no longer than that.
type twins struct {
	window []int64 // of each source; 0: it is not compared
	seen   map[uint64][]sawn
	queue  []uint64
	times  []int64
}

type sawn struct {
	at     int64
	source int
}

func (t *twins) again(source int, p *pendingEntry) bool {
	w := t.window[source]
	if w == 0 {
		return false
	}
	widest := slices.Max(t.window)
	for len(t.times) > 0 && t.times[0] < p.timestamp-2*widest {
		if list := t.seen[t.queue[0]]; len(list) > 0 && list[0].at == t.times[0] {
			if t.seen[t.queue[0]] = list[1:]; len(list) == 1 {
				delete(t.seen, t.queue[0])
			}
		}
		t.queue, t.times = t.queue[1:], t.times[1:]
	}
	list := t.seen[p.signature]
	for i, other := range list {
		if other.source != source && p.timestamp-other.at <= max(w, t.window[other.source]) {
			if t.seen[p.signature] = slices.Delete(slices.Clone(list), i, i+1); len(list) == 1 {
				delete(t.seen, p.signature)
			}
			return true
		}
	}
	t.seen[p.signature] = append(list, sawn{p.timestamp, source})
	t.queue, t.times = append(t.queue, p.signature), append(t.times, p.timestamp)
	return false
}

// write counts what is left and writes the file.
func (m *importer) write(out io.Writer) error {
	rep := m.report
	var last int64
	first, total := int64(math.MaxInt64), uint64(0)
	for _, s := range m.sources {
		if s.earliest != math.MaxInt64 {
			first = min(first, s.earliest+s.offset.Microseconds)
		}
	}
	if len(m.sources) > 1 { // only now is it known which were seen by two
		if err := m.pass(func(i int, p *pendingEntry, again bool) error {
			s := m.sources[i].report
			if again {
				s.Accepted--
				s.Ignored++
				s.Duplicates++
				rep.IgnoredBy["seen by two sources"]++
				return nil
			}
			m.count(s, p)
			last = max(last, p.timestamp)
			return nil
		}); err != nil {
			return err
		}
	} else {
		last = m.sources[0].latest
	}
	for rule, n := range m.drawn {
		if m.counted[rule] == 0 {
			continue
		}
		c := m.class(rule)
		if m.known[rule].seen > 0 {
			c.DrawnRecorded += n
		} else {
			c.DrawnRules += n
		}
		c.SyntheticKeys += m.madeUp[rule]
		c.Entries += m.counted[rule]
		c.Recorded += m.counted[rule] - n
		total += m.counted[rule]
	}
	for bit, name := range RepairNames {
		if m.repaired[bit] > 0 {
			rep.Repairs[name] = m.repaired[bit]
		}
	}
	h := &recordingpb.Header{Version: Version, Seed: m.o.Seed, RulesSha256: sum(m.o.RulesText), StartUnixUs: first,
		Counts: &recordingpb.Counts{}, Repairs: rep.Repairs, Entries: total}
	if rep.Repairs[RepairNames[1]] > 0 {
		h.MadeUpKeys = rep.SyntheticKeys
	}
	for _, s := range rep.Sources {
		rep.Read += s.Read
		rep.Accepted += s.Accepted
		rep.Malformed += s.Malformed
		rep.Unmapped += s.Unmapped
		rep.Ignored += s.Ignored
		rep.Repaired += s.Repaired
		raw, _ := hex.DecodeString(s.SHA256)
		h.Sources = append(h.Sources, &recordingpb.Source{Name: s.Name, Sha256: raw, Format: s.Format, Stamp: s.Stamp,
			Counts: s.Counts.pb(), OffsetUs: s.OffsetUs, Estimated: s.Estimated, Pairs: uint32(s.Pairs), SpreadUs: s.SpreadUs,
			Cut: s.Truncation, Files: s.Files})
	}
	h.Counts = rep.Counts.pb()
	if !rep.Balanced() {
		return fmt.Errorf("the counts do not add up: %+v", rep.Counts)
	}
	if total == 0 {
		return ErrNoEntries
	}
	rep.Start, rep.SpanSeconds = time.UnixMicro(first).UTC(), float64(last-first)/1e6
	index := map[string]int{}
	place := make([]int, len(m.o.Rules.Classes))
	for i, c := range m.o.Rules.Classes {
		if _, ok := index[c.Name]; !ok {
			index[c.Name] = len(h.Classes)
			h.Classes = append(h.Classes, &recordingpb.Class{Name: c.Name, Retryable: c.RetryPolicy == "retryable"})
		}
		place[i] = index[c.Name]
	}
	w, err := NewWriter(out, h)
	if err != nil {
		return err
	}
	keys := newKeyer(m)
	durations := newRandomStream(m.o.Seed, "missing durations")
	err = m.pass(func(i int, p *pendingEntry, again bool) error {
		if again {
			return nil
		}
		rule := &m.o.Rules.Classes[p.class]
		e := Entry{Arrival: time.Duration(p.timestamp-first) * time.Microsecond, Class: place[p.class], Key: keys.of(p), Timeout: rule.timeout(),
			Status: int(p.status), BodyBytes: int(p.bodyBytes), Source: i, Slots: rule.Slots}
		base := p.base()
		if base < 0 {
			p.repairs |= DrawnDuration
			base = rule.draw(&m.known[p.class], durations)
		}
		e.Duration = time.Duration(max(base, 1)) * time.Microsecond
		if p.duration > 0 && p.serviceTime < 0 {
			e.Duration = time.Duration(p.duration) * time.Microsecond
		}
		e.Effort = time.Duration(float64(max(base, 1))*rule.EffortFactor) * time.Microsecond
		if rule.EffortMs > 0 {
			e.Effort = time.Duration(rule.EffortMs * float64(time.Millisecond))
		}
		e.Effort = max(e.Effort, time.Microsecond)
		e.Repairs = p.repairs
		return w.Add(&e)
	})
	if err != nil {
		return err
	}
	return w.Close()
}

// count counts an entry that will be written.
func (m *importer) count(s *SourceReport, p *pendingEntry) {
	repairs := p.repairs
	m.counted[p.class]++
	if p.base() < 0 {
		m.drawn[p.class]++
		repairs |= DrawnDuration
	}
	if repairs == 0 {
		return
	}
	s.Repaired++
	if repairs&SyntheticKey != 0 {
		m.madeUp[p.class]++
	}
	for bit := range RepairNames {
		if repairs&(1<<bit) != 0 {
			m.repaired[bit]++
		}
	}
}

func (m *importer) class(rule int) *ClassReport {
	name := m.o.Rules.Classes[rule].Name
	c := m.report.Classes[name]
	if c == nil {
		c = &ClassReport{}
		m.report.Classes[name] = c
	}
	return c
}

func (c Counts) pb() *recordingpb.Counts {
	return &recordingpb.Counts{Read: c.Read, Accepted: c.Accepted, Malformed: c.Malformed, Unmapped: c.Unmapped,
		Ignored: c.Ignored, Repaired: c.Repaired}
}

func sum(text []byte) []byte {
	h := sha256.Sum256(text)
	return h[:]
}

// draw makes up a duration: one of the class's recorded ones, else as the rules say.
func (c *Rule) draw(known *reservoir, rng *rand.Rand) int64 {
	if len(known.values) > 0 {
		return known.values[rng.IntN(len(known.values))]
	}
	s2 := math.Log(1 + c.DurationSpread*c.DurationSpread)
	return max(1, int64(c.DurationMs*1000*math.Exp(rng.NormFloat64()*math.Sqrt(s2)-s2/2)))
}

// keyer makes pseudonyms. Without a given secret they are keyed by a hash of
// parts of the input that the file does not tell: whoever has the file alone
// cannot try out member numbers, and the same input gives the same bytes.
type keyer struct {
	mac    hash.Hash
	cache  [1 << 14]struct{ token, key uint64 }
	out    []byte
	random *rand.Rand
	zipf   *rand.Zipf
	most   int
}

func newKeyer(m *importer) *keyer {
	secret := sha256.New()
	io.WriteString(secret, "hollyyoke: pseudonyms\n")
	if len(m.o.Secret) > 0 {
		secret.Write(m.o.Secret)
	} else {
		for _, s := range m.sources {
			for _, f := range s.files {
				secret.Write(f.digest.secretSample.Sum(nil))
			}
		}
	}
	k := &keyer{mac: hmac.New(sha256.New, secret.Sum(nil)), random: newRandomStream(m.o.Seed, "made-up keys"), most: m.o.Rules.Redacted.Members}
	if skew := m.o.Rules.Redacted.Skew; skew > 1 {
		k.zipf = rand.NewZipf(k.random, skew, 1, uint64(k.most-1))
	}
	return k
}

func (k *keyer) of(p *pendingEntry) uint64 {
	switch {
	case p.noKey:
		return 0
	case p.repairs&SyntheticKey == 0:
		return k.hash(p.key, 'm')
	case k.zipf != nil:
		return k.hash(k.zipf.Uint64(), 'x')
	}
	return k.hash(uint64(k.random.IntN(k.most)), 'x')
}

func (k *keyer) hash(token uint64, kind byte) uint64 {
	slot := &k.cache[token%uint64(len(k.cache))]
	if kind == 'm' && slot.token == token && slot.key != 0 {
		return slot.key
	}
	var text [9]byte
	binary.LittleEndian.PutUint64(text[:], token)
	text[8] = kind
	k.mac.Reset()
	k.mac.Write(text[:])
	k.out = k.mac.Sum(k.out[:0])
	key := max(1, binary.LittleEndian.Uint64(k.out))
	if kind == 'm' {
		slot.token, slot.key = token, key
	}
	return key
}
