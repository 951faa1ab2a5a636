package recording

import (
	"container/heap"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
)

// deriveHeader returns a copy of the header for a recording that is derived from this one. history
// describes the derivation and is appended to the header's history.
func (r *Reader) deriveHeader(history string) *recordingpb.Header {
	header := proto.Clone(r.Header).(*recordingpb.Header)
	header.Entries = 0
	header.History = append(header.History, history)
	return header
}

// Slice writes a recording of the entries that arrive at or after from and before until. If until is 0,
// it writes all entries from there to the end. The new recording starts at from.
func Slice(recording *Reader, out io.Writer, from, until time.Duration) error {
	if from < 0 || until != 0 && until <= from {
		return errors.New("slice: the window is empty")
	}
	header := recording.deriveHeader(fmt.Sprintf("slice from %v to %v", from, until))
	header.StartUnixUs += from.Microseconds()
	writer, err := NewWriter(out, header)
	if err != nil {
		return err
	}
	// The recording is read to its end even if until is earlier, to verify that it is intact.
	err = recording.ForEach(func(entry *Entry) error {
		if entry.Arrival < from || until != 0 && entry.Arrival >= until {
			return nil
		}
		entry.Arrival -= from
		return writer.Add(entry)
	})
	if err != nil {
		return err
	}
	return writer.Close()
}

// Merge writes a recording of the entries of all given recordings. The entries keep their absolute times
// or, if align is set, their times since the start of their recording.
func Merge(recordings []*Reader, out io.Writer, align bool) error {
	if len(recordings) == 0 {
		return errors.New("merge: no recordings")
	}
	merger := merger{recordings: recordings, align: align}
	if err := merger.mergeHeaders(); err != nil {
		return err
	}
	writer, err := NewWriter(out, merger.header)
	if err != nil {
		return err
	}
	for i := range recordings {
		if err := merger.readNext(i); err != nil {
			return err
		}
	}
	for len(merger.queue) > 0 {
		next := heap.Pop(&merger.queue).(queuedEntry)
		if err := writer.Add(&next.Entry); err != nil {
			return err
		}
		if err := merger.readNext(int(next.tieBreaker)); err != nil {
			return err
		}
	}
	return writer.Close()
}

// merger is the state of Merge.
type merger struct {
	recordings  []*Reader
	align       bool
	header      *recordingpb.Header
	classes     [][]int    // by recording and index of the class in it: the index of the class in header
	firstSource []int      // by recording: the index in header of its first source
	queue       entryQueue // the next entry of each recording; tieBreaker is the index of the recording
}

// mergeHeaders creates the header of the merged recording.
func (m *merger) mergeHeaders() error {
	m.header = m.recordings[0].deriveHeader(fmt.Sprintf("merge of %d", len(m.recordings)))
	m.header.Classes = nil
	m.header.Sources = nil
	m.header.Repairs = map[string]uint64{}
	m.header.Counts = &recordingpb.Counts{}
	indexByName := map[string]int{}
	for _, recording := range m.recordings {
		header := recording.Header
		m.header.StartUnixUs = min(m.header.StartUnixUs, header.StartUnixUs)
		m.firstSource = append(m.firstSource, len(m.header.Sources))
		m.header.Sources = append(m.header.Sources, header.Sources...)
		classes, err := m.mergeClasses(header, indexByName)
		if err != nil {
			return err
		}
		m.classes = append(m.classes, classes)
		for name, n := range header.Repairs {
			m.header.Repairs[name] += n
		}
		addCounts(m.header.Counts, header.Counts)
	}
	return nil
}

// mergeClasses adds the classes of a recording to the merged header and returns their indexes in it.
func (m *merger) mergeClasses(header *recordingpb.Header, indexByName map[string]int) (indexes []int, err error) {
	for _, class := range header.Classes {
		index, ok := indexByName[class.Name]
		if !ok {
			index = len(m.header.Classes)
			indexByName[class.Name] = index
			m.header.Classes = append(m.header.Classes, class)
		} else if m.header.Classes[index].Retryable != class.Retryable {
			return nil, fmt.Errorf("merge: class %s is retryable in one recording and not in another", class.Name)
		}
		indexes = append(indexes, index)
	}
	return indexes, nil
}

func addCounts(sum, counts *recordingpb.Counts) {
	sum.Read += counts.GetRead()
	sum.Accepted += counts.GetAccepted()
	sum.Malformed += counts.GetMalformed()
	sum.Unmapped += counts.GetUnmapped()
	sum.Ignored += counts.GetIgnored()
	sum.Repaired += counts.GetRepaired()
}

// readNext reads the next entry of a recording and adds it to the queue, unless there is none.
func (m *merger) readNext(index int) error {
	recording := m.recordings[index]
	var entry Entry
	err := recording.Next(&entry)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("recording %d: %w", index+1, err)
	}
	if !m.align {
		entry.Arrival += time.Duration(recording.Header.StartUnixUs-m.header.StartUnixUs) * time.Microsecond
	}
	entry.Class = m.classes[index][entry.Class]
	entry.Source += m.firstSource[index]
	heap.Push(&m.queue, queuedEntry{entry, uint64(index)})
	return nil
}

// entryQueue is a heap of entries, ordered by arrival and then by tieBreaker.
type entryQueue []queuedEntry

type queuedEntry struct {
	Entry
	tieBreaker uint64 // decides between entries with the same arrival
}

func (q entryQueue) Len() int { return len(q) }
func (q entryQueue) Less(i, j int) bool {
	return q[i].Arrival < q[j].Arrival || q[i].Arrival == q[j].Arrival && q[i].tieBreaker < q[j].tieBreaker
}
func (q entryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *entryQueue) Push(x any)   { *q = append(*q, x.(queuedEntry)) }
func (q *entryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Scale writes a recording with rate times as many entries, which arrive speed times as fast. For a rate
// below 1 it drops entries at random. For a rate above 1 it adds copies of entries, with other keys and
// up to a second after the originals. Durations and efforts are not changed.
func Scale(recording *Reader, out io.Writer, rate, speed float64, seed uint64) error {
	for _, factor := range []float64{rate, speed} {
		if !(factor >= 0.001 && factor <= 1000) {
			return fmt.Errorf("scale: %g is not between 0.001 and 1000", factor)
		}
	}
	writer, err := NewWriter(out, recording.deriveHeader(fmt.Sprintf("scale rate %g speed %g seed %d", rate, speed, seed)))
	if err != nil {
		return err
	}
	random := newRandomStream(seed, "scale")
	scaler := scaler{writer: writer, speed: speed}
	err = recording.ForEach(func(entry *Entry) error {
		if err := scaler.writeUntil(entry.Arrival); err != nil {
			return err
		}
		copies := int(rate)
		if random.Float64() < rate-float64(copies) {
			copies++
		}
		for i := range copies {
			copied := *entry
			if i > 0 {
				copied.Arrival += time.Duration(random.Int64N(int64(time.Second)))
				copied.Key = keyOfCopy(entry.Key, i)
			}
			scaler.add(copied)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := scaler.writeUntil(math.MaxInt64); err != nil {
		return err
	}
	return writer.Close()
}

// keyOfCopy derives the key of an entry's copy from the entry's key. index is the copy's number, from 1.
func keyOfCopy(key uint64, index int) uint64 {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 / φ
	if key == 0 {
		return 0
	}
	return (key + uint64(index)*goldenRatio) | 1
}

// scaler sorts the entries and their copies by arrival and writes them with scaled arrivals.
type scaler struct {
	writer         *Writer
	speed          float64
	queue          entryQueue // entries that are not written yet
	lastTieBreaker uint64     // tieBreaker of the entry that was added last
}

func (s *scaler) add(entry Entry) {
	s.lastTieBreaker++
	heap.Push(&s.queue, queuedEntry{entry, s.lastTieBreaker})
}

// writeUntil writes the queued entries whose arrival, before it is scaled, is at most until.
func (s *scaler) writeUntil(until time.Duration) error {
	for len(s.queue) > 0 && s.queue[0].Arrival <= until {
		next := heap.Pop(&s.queue).(queuedEntry)
		next.Arrival = time.Duration(float64(next.Arrival) / s.speed)
		if err := s.writer.Add(&next.Entry); err != nil {
			return err
		}
	}
	return nil
}
