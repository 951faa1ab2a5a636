package recording

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"
)

// The shapes of synthetic logs.
const (
	ShapeSteady  = "steady"  // a Poisson process
	ShapeRush    = "rush"    // three times the rate in the middle third
	ShapeMorning = "morning" // a rising rate, with a random factor that changes every 0.25 to 0.75 s
)

// SyntheticLog specifies a log that GenerateLog generates for measurements and tests.
type SyntheticLog struct {
	Shape                 string        // ShapeSteady, ShapeRush or ShapeMorning
	Rate                  float64       // entries per second, on average
	Length                time.Duration // from the start to the last arrival, at most
	MeanDurationMs        float64
	Members               int
	Seed                  uint64
	MillisecondTimestamps bool // write SyntheticLogFormat; otherwise combined+s, with timestamps of whole seconds
}

// SyntheticLogFormat is the format, as for Compile, of synthetic logs with timestamps of milliseconds.
const SyntheticLogFormat = `nginx:$msec $remote_addr "$request" $status $request_time`

const (
	maxSyntheticRate = 1e6  // entries per second
	statusShare      = 0.64 // share of status checks among the requests; the others are renewals
	durationSigma    = 0.6  // standard deviation of the logarithm of the durations, which are lognormally distributed
	durationShift    = 0.18 // durationSigma² / 2, subtracted so that the mean of the durations is MeanDurationMs
)

// syntheticStart is the time at which synthetic logs start.
var syntheticStart = time.Date(2026, 11, 29, 6, 0, 0, 0, time.UTC)

// GenerateLog writes a log and returns its number of lines. The lines are in the order of the
// arrivals, although their timestamps mark the completions. The same specification gives the same log.
func GenerateLog(out io.Writer, spec SyntheticLog) (lines int, err error) {
	if err := spec.validate(); err != nil {
		return 0, err
	}
	const bufferBytes = 256 << 10
	writer := bufio.NewWriterSize(out, bufferBytes)
	random := newRandomStream(spec.Seed, "made up")
	arrivals := syntheticArrivals{spec: &spec, random: random, burstFactor: 1}
	for arrivals.next() {
		if err := spec.writeLine(writer, arrivals.elapsed, random); err != nil {
			return lines, err
		}
		lines++
	}
	return lines, writer.Flush()
}

func (s *SyntheticLog) validate() error {
	switch s.Shape {
	case ShapeSteady, ShapeRush, ShapeMorning:
	default:
		return fmt.Errorf("shape: %q is neither steady, rush nor morning", s.Shape)
	}
	if !(s.Rate > 0 && s.Rate <= maxSyntheticRate) || s.Length <= 0 || !(s.MeanDurationMs > 0) || s.Members < 1 {
		return errors.New("rate, for, mean and members must be positive")
	}
	return nil
}

// syntheticArrivals draws the arrivals of a synthetic log.
type syntheticArrivals struct {
	spec        *SyntheticLog
	random      *rand.Rand
	elapsed     float64 // time of the last arrival since the start, s
	burstFactor float64 // current factor of the rate, for ShapeMorning
	burstEnd    float64 // time at which the factor changes, s
}

// next advances elapsed to the next arrival. It returns false if that is after the end of the log.
func (a *syntheticArrivals) next() bool {
	length := a.spec.Length.Seconds()
	rate := a.spec.Rate
	switch a.spec.Shape {
	case ShapeRush: // 3/5 of the average rate, 9/5 in the middle third
		rate *= 0.6
		if a.elapsed > length/3 && a.elapsed < length*2/3 {
			rate *= 3
		}
	case ShapeMorning:
		if a.elapsed >= a.burstEnd {
			a.burstEnd = a.elapsed + 0.25 + a.random.Float64()/2
			a.burstFactor = a.random.ExpFloat64()/2 + 0.5
		}
		rate *= a.burstFactor * (0.7 + 0.6*a.elapsed/length)
	}
	a.elapsed += a.random.ExpFloat64() / rate
	return a.elapsed < length
}

// writeLine writes the line of a random request that arrives elapsed seconds after the start.
func (s *SyntheticLog) writeLine(writer io.Writer, elapsed float64, random *rand.Rand) error {
	member := random.IntN(s.Members)
	request := fmt.Sprintf("GET /members/%d/status", member)
	if random.Float64() > statusShare {
		request = fmt.Sprintf("POST /members/%d/renew", member)
	}
	duration := s.MeanDurationMs / 1000 * math.Exp(random.NormFloat64()*durationSigma-durationShift)
	completed := syntheticStart.Add(time.Duration((elapsed + duration) * float64(time.Second)))
	if s.MillisecondTimestamps {
		_, err := fmt.Fprintf(writer, "%d.%03d 10.20.%d.%d \"%s HTTP/1.1\" 200 %.3f\n",
			completed.Unix(), completed.Nanosecond()/1e6, random.IntN(4), random.IntN(250), request, duration)
		return err
	}
	_, err := fmt.Fprintf(writer, "10.20.%d.%d - - [%s] \"%s HTTP/1.1\" 200 %d \"https://portal.example/members/start\" \"turnstile/4.2 (kiosk; linux; gate %d)\" %.3f\n",
		random.IntN(4), random.IntN(250), completed.Format(commonTimeLayout), request, 90+random.IntN(900), random.IntN(40), duration)
	return err
}
