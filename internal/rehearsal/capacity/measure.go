package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// This file owns the plays of a slope run: a daemon without clients, a stand-in
// discovery, and what one costs as the other changes its list.

// Config says what to measure.
type Config struct {
	Program   string // the daemon, dispatcher-serve
	Sizes     []int  // listed workers
	Plays     int
	IdleSpan  time.Duration // how long nothing changes
	DeltaSpan time.Duration // how long workers change one by one,
	DeltaRate float64       // so many a second
	Progress  func(size, play int)

	ModuleOnly bool // leave the daemon out
}

const (
	kindName     = "standard"
	cellWorkers  = 40 // workers of a cell; no decision here rests on it
	steadyStep   = 50 * time.Millisecond
	steadyLooks  = 4                     // looks in a row at which the daemon does next to nothing
	steadyCPU    = time.Millisecond      // in one of them
	steadyLimit  = 60 * time.Second      // until which it must come to rest
	arrivalStep  = 50 * time.Microsecond // between looks whether a delta has come
	arrivalLimit = 10 * time.Second
	lostZone     = 3 // the number of the zone that is lost
)

var errNotSteady = errors.New("the daemon does not come to rest")

// workerName names a worker of the list.
func workerName(i int) string { return fmt.Sprintf("worker-%05d", i) }

// listed is a worker as discovery lists it: a name, an address, a zone and a cell.
func listed(i int) standin.Host {
	return standin.Host{Host: workerName(i), Dial: fmt.Sprintf("10.%d.%d.%d:7001", i%Zones, i/Zones/250, i/Zones%250+1),
		Site: zoneNames()[i%Zones], Class: kindName, Block: i / cellWorkers, Health: "ready", Share: 1}
}

// Measure plays all sizes and returns what was measured.
func Measure(c Config) (Slopes, error) {
	s := Slopes{Date: time.Now().Format(time.DateOnly), Cores: runtime.NumCPU(), Zones: Zones, Plays: c.Plays, Sizes: c.Sizes}
	for play := range c.Plays {
		for _, size := range c.Sizes {
			if c.Progress != nil {
				c.Progress(size, play)
			}
			if !c.ModuleOnly {
				if err := playDaemon(&s, c, size); err != nil {
					return s, fmt.Errorf("%d workers: %w", size, err)
				}
			}
			if err := playModule(&s, size); err != nil {
				return s, fmt.Errorf("%d workers: %w", size, err)
			}
		}
		if err := playAxes(&s); err != nil {
			return s, err
		}
	}
	return s, nil
}

// playDaemon is one play of one size with a real daemon.
func playDaemon(s *Slopes, c Config, size int) error {
	dir, err := os.MkdirTemp("", "hollyyoke-slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	discovery, err := standin.StartDiscovery(nil)
	if err != nil {
		return err
	}
	defer discovery.Close()
	hosts := make([]standin.Host, size)
	for i := range hosts {
		hosts[i] = listed(i)
	}
	discovery.Set(hosts...)
	link, err := StartLink(discovery.Addr)
	if err != nil {
		return err
	}
	defer link.Close()
	d, err := startDaemon(c.Program, dir, link.Addr)
	if err != nil {
		return err
	}
	defer d.close()
	p := play{slopes: s, size: size, daemon: d, link: link, discovery: discovery, hosts: hosts}
	for _, step := range []func(Config) error{p.start, p.idle, p.deltas, p.zoneLoss} {
		if err := step(c); err != nil {
			return err
		}
	}
	peak, err := d.PeakResident()
	if err != nil {
		return err
	}
	p.add(PeakResident, UnitBytes, peak)
	return nil
}

// play is a daemon that is measured, and what it is measured with.
type play struct {
	slopes    *Slopes
	size      int
	daemon    *daemon
	link      *Link
	discovery *standin.Discovery
	hosts     []standin.Host
	idleCores float64 // processor time a second while nothing changes
	idleBytes float64
}

func (p *play) add(name SeriesName, unit Unit, value float64) {
	p.slopes.add(name, unit, AxisWorkers, p.size, value)
}

// meter runs something and returns what the daemon used meanwhile.
func (p *play) meter(during func() error) (cpu, span time.Duration, bytes int64, err error) {
	cpuBefore, err := p.daemon.CPU()
	if err != nil {
		return 0, 0, 0, err
	}
	bytesBefore, began := p.link.Bytes(), time.Now()
	if err := during(); err != nil {
		return 0, 0, 0, err
	}
	cpuAfter, err := p.daemon.CPU()
	return cpuAfter - cpuBefore, time.Since(began), p.link.Bytes() - bytesBefore, err
}

// steady waits until the daemon has done what it had to.
func (p *play) steady() error {
	last, err := p.daemon.CPU()
	if err != nil {
		return err
	}
	calm := 0
	for end := time.Now().Add(steadyLimit); calm < steadyLooks; {
		if time.Now().After(end) {
			return errNotSteady
		}
		time.Sleep(steadyStep)
		now, err := p.daemon.CPU()
		if err != nil {
			return err
		}
		if now-last > steadyCPU {
			calm = 0
		} else {
			calm++
		}
		last = now
	}
	return nil
}

// start books what the start has cost.
func (p *play) start(Config) error {
	if err := p.steady(); err != nil {
		return err
	}
	cpu, err := p.daemon.CPU()
	if err != nil {
		return err
	}
	peak, err := p.daemon.PeakResident()
	if err != nil {
		return err
	}
	p.add(ReadyTime, UnitSeconds, p.daemon.Ready.Seconds())
	p.add(StartCPU, UnitSeconds, cpu.Seconds())
	p.add(StartResident, UnitBytes, peak)
	p.add(SnapshotBytes, UnitBytes, float64(p.link.Bytes()))
	compressed, err := gzipSize(p.discovery.List())
	if err != nil {
		return err
	}
	p.add(SnapshotGzip, UnitBytes, float64(compressed))
	return nil
}

// gzipSize is the length of a list, as JSON, compressed.
func gzipSize(list []standin.Host) (int, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return 0, err
	}
	if err := w.Close(); err != nil {
		return 0, err
	}
	return out.Len(), nil
}

// idle books what the daemon costs while nothing changes.
func (p *play) idle(c Config) error {
	cpu, span, bytes, err := p.meter(func() error {
		time.Sleep(c.IdleSpan)
		return nil
	})
	if err != nil {
		return err
	}
	p.idleCores = cpu.Seconds() / span.Seconds()
	p.idleBytes = float64(bytes) / span.Seconds()
	p.add(IdleCPU, UnitCores, p.idleCores)
	p.add(IdleBytes, UnitBytesPerSecond, p.idleBytes)
	return nil
}

// deltas changes one worker after another at an even rate: half of the changes
// let a worker drain, the other half take it back.
func (p *play) deltas(c Config) error {
	count := int(c.DeltaRate * c.DeltaSpan.Seconds())
	cpu, span, bytes, err := p.meter(func() error {
		tick := time.NewTicker(time.Duration(float64(time.Second) / c.DeltaRate))
		defer tick.Stop()
		for i := range count {
			<-tick.C
			h := &p.hosts[i/2%len(p.hosts)]
			h.Health = "draining"
			if i%2 == 1 {
				h.Health = "ready"
			}
			if err := p.change(*h); err != nil {
				return err
			}
		}
		return p.steady()
	})
	if err != nil {
		return err
	}
	p.add(DeltaCPU, UnitSeconds, (cpu.Seconds()-p.idleCores*span.Seconds())/float64(count))
	p.add(DeltaBytes, UnitBytes, (float64(bytes)-p.idleBytes*span.Seconds())/float64(count))
	return nil
}

// change changes a worker and waits until the delta has passed to the daemon, so
// that none is put together with the next.
func (p *play) change(h standin.Host) error {
	before := p.link.Versions()
	p.discovery.Set(h)
	for end := time.Now().Add(arrivalLimit); p.link.Versions() == before; time.Sleep(arrivalStep) {
		if time.Now().After(end) {
			return fmt.Errorf("the delta of %s has not come in %v", h.Host, arrivalLimit)
		}
	}
	return nil
}

// zoneLoss takes all workers of a zone out, one delta each, as fast as they pass.
func (p *play) zoneLoss(Config) error {
	before := p.link.Versions()
	cpu, span, _, err := p.meter(func() error {
		for i, h := range p.hosts {
			if i%Zones != lostZone {
				continue
			}
			h.Health = "gone"
			if err := p.change(h); err != nil {
				return err
			}
		}
		return p.steady()
	})
	if err != nil {
		return err
	}
	p.add(ZoneLossCPU, UnitSeconds, cpu.Seconds()-p.idleCores*span.Seconds())
	p.add(ZoneLossDeltas, UnitCount, float64(p.link.Versions()-before))
	return nil
}
