package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

// daemonRun is a measured daemon with its discovery and the proxy between them.
type daemonRun struct {
	slopes    *Slopes
	size      int
	daemon    *daemon
	proxy     *CountingProxy
	discovery *standin.Discovery
	hosts     []standin.Host
	idleCores float64 // processor time per second while nothing changes
	idleBytes float64 // bytes per second in that time
}

func (r *daemonRun) record(name SeriesName, unit Unit, value float64) {
	r.slopes.record(name, unit, AxisWorkers, r.size, value)
}

// meter runs during and returns what the daemon used meanwhile.
func (r *daemonRun) meter(during func() error) (cpu, span time.Duration, bytes int64, err error) {
	cpuBefore, err := r.daemon.cpu()
	if err != nil {
		return 0, 0, 0, err
	}
	bytesBefore := r.proxy.Bytes()
	began := time.Now()
	if err := during(); err != nil {
		return 0, 0, 0, err
	}
	cpuAfter, err := r.daemon.cpu()
	return cpuAfter - cpuBefore, time.Since(began), r.proxy.Bytes() - bytesBefore, err
}

// waitSteady waits until the daemon is idle.
func (r *daemonRun) waitSteady() error {
	previous, err := r.daemon.cpu()
	if err != nil {
		return err
	}
	idleSamples := 0
	for end := time.Now().Add(steadyTimeout); idleSamples < steadySamples; {
		if time.Now().After(end) {
			return errNotSteady
		}
		time.Sleep(steadySampleInterval)
		current, err := r.daemon.cpu()
		if err != nil {
			return err
		}
		if current-previous > maxSteadyCPU {
			idleSamples = 0
		} else {
			idleSamples++
		}
		previous = current
	}
	return nil
}

// measureStart records the cost of the start.
func (r *daemonRun) measureStart(Config) error {
	if err := r.waitSteady(); err != nil {
		return err
	}
	cpu, err := r.daemon.cpu()
	if err != nil {
		return err
	}
	peak, err := r.daemon.peakResident()
	if err != nil {
		return err
	}
	r.record(ReadyTime, UnitSeconds, r.daemon.startTime.Seconds())
	r.record(StartCPU, UnitSeconds, cpu.Seconds())
	r.record(StartResident, UnitBytes, peak)
	r.record(SnapshotBytes, UnitBytes, float64(r.proxy.Bytes()))
	compressed, err := gzipSize(r.discovery.List())
	if err != nil {
		return err
	}
	r.record(SnapshotGzip, UnitBytes, float64(compressed))
	return nil
}

// measureIdle records what the daemon costs while nothing changes.
func (r *daemonRun) measureIdle(config Config) error {
	cpu, span, bytes, err := r.meter(func() error {
		time.Sleep(config.IdleTime)
		return nil
	})
	if err != nil {
		return err
	}
	r.idleCores = cpu.Seconds() / span.Seconds()
	r.idleBytes = float64(bytes) / span.Seconds()
	r.record(IdleCPU, UnitCores, r.idleCores)
	r.record(IdleBytes, UnitBytesPerSecond, r.idleBytes)
	return nil
}

// measureDeltas changes one worker after another at an even rate: half of the changes set a worker to draining, the others
// back to ready.
func (r *daemonRun) measureDeltas(config Config) error {
	count := int(config.DeltaRate * config.DeltaTime.Seconds())
	cpu, span, bytes, err := r.meter(func() error {
		tick := time.NewTicker(time.Duration(float64(time.Second) / config.DeltaRate))
		defer tick.Stop()
		for i := range count {
			<-tick.C
			host := &r.hosts[i/2%len(r.hosts)]
			host.Health = standin.HealthDraining
			if i%2 == 1 {
				host.Health = standin.HealthReady
			}
			if err := r.changeWorker(*host); err != nil {
				return err
			}
		}
		return r.waitSteady()
	})
	if err != nil {
		return err
	}
	r.record(DeltaCPU, UnitSeconds, (cpu.Seconds()-r.idleCores*span.Seconds())/float64(count))
	r.record(DeltaBytes, UnitBytes, (float64(bytes)-r.idleBytes*span.Seconds())/float64(count))
	return nil
}

// changeWorker changes a worker and waits until the delta has passed to the daemon, so that it is not merged with the next.
func (r *daemonRun) changeWorker(host standin.Host) error {
	before := r.proxy.Versions()
	r.discovery.Set(host)
	for end := time.Now().Add(deltaTimeout); r.proxy.Versions() == before; time.Sleep(deltaPollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("the delta of %s has not arrived within %v", host.Host, deltaTimeout)
		}
	}
	return nil
}

// measureZoneLoss removes all workers of a zone, one delta each, as fast as they pass.
func (r *daemonRun) measureZoneLoss(Config) error {
	before := r.proxy.Versions()
	cpu, span, _, err := r.meter(func() error {
		for i, host := range r.hosts {
			if i%Zones != lostZone {
				continue
			}
			host.Health = standin.HealthGone
			if err := r.changeWorker(host); err != nil {
				return err
			}
		}
		return r.waitSteady()
	})
	if err != nil {
		return err
	}
	r.record(ZoneLossCPU, UnitSeconds, cpu.Seconds()-r.idleCores*span.Seconds())
	r.record(ZoneLossDeltas, UnitCount, float64(r.proxy.Versions()-before))
	return nil
}

// gzipSize returns the length of a list as compressed JSON.
func gzipSize(list []standin.Host) (int, error) {
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if err := json.NewEncoder(compressor).Encode(list); err != nil {
		return 0, err
	}
	if err := compressor.Close(); err != nil {
		return 0, err
	}
	return out.Len(), nil
}

// measureDaemon measures a real daemon once at one size.
func measureDaemon(slopes *Slopes, config Config, size int) error {
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
		hosts[i] = listedWorker(i)
	}
	discovery.Set(hosts...)
	proxy, err := StartCountingProxy(discovery.Addr)
	if err != nil {
		return err
	}
	defer proxy.Close()
	started, err := startDaemon(config.Program, dir, proxy.Addr)
	if err != nil {
		return err
	}
	defer started.stop()
	run := daemonRun{slopes: slopes, size: size, daemon: started, proxy: proxy, discovery: discovery, hosts: hosts}
	for _, step := range []func(Config) error{run.measureStart, run.measureIdle, run.measureDeltas, run.measureZoneLoss} {
		if err := step(config); err != nil {
			return err
		}
	}
	peak, err := started.peakResident()
	if err != nil {
		return err
	}
	run.record(PeakResident, UnitBytes, peak)
	return nil
}
