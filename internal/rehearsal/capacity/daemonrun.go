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

// daemonRun is one measurement of a daemon, which is connected to its discovery through a counting proxy.
type daemonRun struct {
	slopes    *Slopes
	size      int // number of listed workers
	daemon    *daemon
	proxy     *CountingProxy
	discovery *standin.Discovery
	hosts     []standin.Host
	idleCores float64 // processor time per second while nothing changes
	idleBytes float64 // bytes per second while nothing changes
}

// record adds a value at the run's size to a series.
func (r *daemonRun) record(name SeriesName, unit Unit, value float64) {
	r.slopes.record(name, unit, AxisWorkers, r.size, value)
}

// daemonUsage is what the daemon used in a period.
type daemonUsage struct {
	span  time.Duration // length of the period
	cpu   time.Duration
	bytes int64 // on the connection to discovery, in both directions
}

// meter calls activity and returns what the daemon used during the call.
func (r *daemonRun) meter(activity func() error) (daemonUsage, error) {
	cpuBefore, err := r.daemon.cpu()
	if err != nil {
		return daemonUsage{}, err
	}
	bytesBefore := r.proxy.Bytes()
	startedAt := time.Now()
	if err := activity(); err != nil {
		return daemonUsage{}, err
	}
	cpuAfter, err := r.daemon.cpu()
	if err != nil {
		return daemonUsage{}, err
	}
	return daemonUsage{
		span:  time.Since(startedAt),
		cpu:   cpuAfter - cpuBefore,
		bytes: r.proxy.Bytes() - bytesBefore,
	}, nil
}

// cpuBeyondIdle returns the used processor time in seconds, minus what an idle daemon uses in the same span.
func (r *daemonRun) cpuBeyondIdle(used daemonUsage) float64 {
	return used.cpu.Seconds() - r.idleCores*used.span.Seconds()
}

// waitIdle waits until the daemon has used almost no processor time in several consecutive samples.
func (r *daemonRun) waitIdle() error {
	previous, err := r.daemon.cpu()
	if err != nil {
		return err
	}
	idleSamples := 0
	for end := time.Now().Add(idleTimeout); idleSamples < requiredIdleSamples; {
		if time.Now().After(end) {
			return errNotIdle
		}
		time.Sleep(idleSampleInterval)
		current, err := r.daemon.cpu()
		if err != nil {
			return err
		}
		if current-previous > maxIdleCPU {
			idleSamples = 0
		} else {
			idleSamples++
		}
		previous = current
	}
	return nil
}

// measureStart waits until the daemon is idle after its start, and records the time, processor time, memory and bytes that
// the start took.
func (r *daemonRun) measureStart(Config) error {
	if err := r.waitIdle(); err != nil {
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
	r.record(ReadyTime, UnitSeconds, r.daemon.timeToReady.Seconds())
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

// measureIdle records the processor time and bytes that the daemon uses while nothing changes.
func (r *daemonRun) measureIdle(config Config) error {
	used, err := r.meter(func() error {
		time.Sleep(config.IdleTime)
		return nil
	})
	if err != nil {
		return err
	}
	r.idleCores = used.cpu.Seconds() / used.span.Seconds()
	r.idleBytes = float64(used.bytes) / used.span.Seconds()
	r.record(IdleCPU, UnitCores, r.idleCores)
	r.record(IdleBytes, UnitBytesPerSecond, r.idleBytes)
	return nil
}

// measureDeltas records the processor time and bytes of a one-worker delta. It changes one worker after another at an even
// rate: half of the changes mark a worker as draining, the others mark it as ready again.
func (r *daemonRun) measureDeltas(config Config) error {
	count := int(config.DeltaRate * config.DeltaTime.Seconds())
	used, err := r.meter(func() error { return r.makeDeltas(count, config.DeltaRate) })
	if err != nil {
		return err
	}
	r.record(DeltaCPU, UnitSeconds, r.cpuBeyondIdle(used)/float64(count))
	r.record(DeltaBytes, UnitBytes, (float64(used.bytes)-r.idleBytes*used.span.Seconds())/float64(count))
	return nil
}

// makeDeltas has discovery send a number of one-worker deltas, at a rate per second, and waits until the daemon is idle.
func (r *daemonRun) makeDeltas(count int, rate float64) error {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
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
	return r.waitIdle()
}

// changeWorker changes a worker in discovery and waits until the delta has passed the proxy, so that discovery does not merge
// it with the next one.
func (r *daemonRun) changeWorker(host standin.Host) error {
	before := r.proxy.Versions()
	r.discovery.Set(host)
	for end := time.Now().Add(deltaTimeout); r.proxy.Versions() == before; time.Sleep(deltaPollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("the delta of %s has not reached the daemon within %v", host.Host, deltaTimeout)
		}
	}
	return nil
}

// measureZoneLoss records the processor time and the number of deltas for the removal of all workers of a zone, one by one
// without a pause.
func (r *daemonRun) measureZoneLoss(Config) error {
	versionsBefore := r.proxy.Versions()
	used, err := r.meter(r.removeZone)
	if err != nil {
		return err
	}
	r.record(ZoneLossCPU, UnitSeconds, r.cpuBeyondIdle(used))
	r.record(ZoneLossDeltas, UnitCount, float64(r.proxy.Versions()-versionsBefore))
	return nil
}

// removeZone removes the workers of the lost zone, each by a delta of its own, and waits until the daemon is idle.
func (r *daemonRun) removeZone() error {
	for i, host := range r.hosts {
		if i%Zones != lostZone {
			continue
		}
		host.Health = standin.HealthGone
		if err := r.changeWorker(host); err != nil {
			return err
		}
	}
	return r.waitIdle()
}

// gzipSize returns the length in bytes of a list as JSON compressed by gzip.
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

// measureDaemon starts a daemon with the given number of listed workers, measures it once and stops it.
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
