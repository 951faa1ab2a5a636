package recording

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"time"
)

// This file owns the logs that are made up for measurements: big ones, and ones
// of a known shape. Nothing else may take them for recorded.

// SyntheticLog says what log to make up.
type SyntheticLog struct {
	Shape   string  // "steady": Poisson; "rush": three times as many in the middle third; "morning": bursts as kiosks make them
	Rate    float64 // entries a second, on average
	Length     time.Duration
	MeanDurationMs  float64 // of durations
	Members int
	Seed    uint64
	MillisecondStamps bool // stamps of milliseconds, as nginx:$msec ... ; else Combined and $request_time
}

// SyntheticLogFormat is the format of precise logs that were made up.
const SyntheticLogFormat = `nginx:$msec $remote_addr "$request" $status $request_time`

// GenerateLog writes a log and returns how many lines it has. Lines stand in the
// order of their arrivals, as those of a log that is written at once would.
func GenerateLog(out io.Writer, g SyntheticLog) (lines int, err error) {
	switch {
	case g.Shape != "steady" && g.Shape != "rush" && g.Shape != "morning":
		return 0, fmt.Errorf("shape: %q is neither steady, rush nor morning", g.Shape)
	case !(g.Rate > 0 && g.Rate <= 1e6) || g.Length <= 0 || !(g.MeanDurationMs > 0) || g.Members < 1:
		return 0, fmt.Errorf("rate, for, mean and members must be positive")
	}
	w := bufio.NewWriterSize(out, 256<<10)
	rng := newRandomStream(g.Seed, "made up")
	start := time.Date(2026, 11, 29, 6, 0, 0, 0, time.UTC)
	whole := g.Length.Seconds()
	at, burst, until := 0.0, 1.0, 0.0
	for {
		rate := g.Rate
		switch g.Shape {
		case "rush": // 3/5, 9/5 and 3/5 of the average
			if rate *= 0.6; at > whole/3 && at < whole*2/3 {
				rate *= 3
			}
		case "morning": // it rises, and every half second or so it is another
			if at >= until {
				until, burst = at+0.25+rng.Float64()/2, rng.ExpFloat64()/2+0.5
			}
			rate *= burst * (0.7 + 0.6*at/whole)
		}
		if at += rng.ExpFloat64() / rate; at >= whole {
			break
		}
		member := rng.IntN(g.Members)
		request := "GET /members/%d/status"
		if rng.Float64() > 0.64 {
			request = "POST /members/%d/renew"
		}
		d := g.MeanDurationMs / 1000 * math.Exp(rng.NormFloat64()*0.6-0.18)
		when := start.Add(time.Duration((at + d) * float64(time.Second)))
		request = fmt.Sprintf(request, member)
		if g.MillisecondStamps {
			_, err = fmt.Fprintf(w, "%d.%03d 10.20.%d.%d \"%s HTTP/1.1\" 200 %.3f\n", when.Unix(), when.Nanosecond()/1e6, rng.IntN(4), rng.IntN(250), request, d)
		} else {
			_, err = fmt.Fprintf(w, "10.20.%d.%d - - [%s] \"%s HTTP/1.1\" 200 %d \"https://portal.example/members/start\" \"turnstile/4.2 (kiosk; linux; gate %d)\" %.3f\n",
				rng.IntN(4), rng.IntN(250), when.Format("02/Jan/2006:15:04:05 -0700"), request, 90+rng.IntN(900), rng.IntN(40), d)
		}
		if err != nil {
			return lines, err
		}
		lines++
	}
	return lines, w.Flush()
}
