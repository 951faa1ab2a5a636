package standin

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/childprocess"
	"hollyyoke.example/hollyyoke/internal/rehearsal/daemonprocess"
)

// ClassConfig describes a class of requests in the daemon's configuration.
type ClassConfig struct {
	Name      string
	Retryable bool
	Timeout   time.Duration // deadline of the class: the longest time that a client waits
}

// FleetConfig describes the environment that a Fleet starts.
type FleetConfig struct {
	DaemonPath       string // path of the daemon's executable
	Dir              string // existing directory for the daemon's files
	Classes          []ClassConfig
	Workers          int     // number of workers, default 6; one in three is small and slow, as at the production site
	WorkerSlots      float64 // of each worker; 0 uses the number of the worker's kind
	Seed             uint64
	Faktory          bool    // whether the daemon also starts its Faktory front end
	Descriptors      int     // limit of open descriptors in the daemon's configuration; default 4096
	RunTimeVariation float64 // see WorkerConfig

	Operator string // path of the daemon's operator file, or empty for none
}

const (
	defaultWorkers     = 6
	defaultDescriptors = 4096
)

// Fleet is a running rehearsal: workers, a discovery service that lists them, their ledger and
// gate, and the daemon that dispatches to them. The daemon's configuration and environment name no
// other workers. A Fleet must be closed. Only its Ledger, Gate, Log and Discovery are safe for
// concurrent use.
type Fleet struct {
	FleetConfig
	Ledger      Ledger
	Gate        Gate
	Discovery   *Discovery
	Workers     []*Worker
	Addr        string // address of the HTTP front end
	FaktoryAddr string // address of the Faktory front end; empty if it was not started
	Password    string // password of the Faktory front end; random, so that no worker of another run can log in
	Log         childprocess.Output

	secret []byte
	daemon *daemonprocess.Process // nil until it was started
	ctx    context.Context
	cancel context.CancelFunc
}

const (
	verifyInterval   = 2 * time.Second
	warmup           = 6 * time.Second // duration of the warm-up of workers that have one
	workersPerBlock  = 4
	fleetSecretBytes = 32
)

// workerKind is a kind of machine. The values are those of the production site.
type workerKind struct {
	name  string
	slots float64
	speed float64
}

var workerKinds = []workerKind{{"standard", 3, 1}, {"standard", 3, 0.9}, {"small", 2, 0.6}}

var zoneNames = []string{"zarqa-east", "russeifa", "hashemiya"}

// StartFleet starts the fleet and verifies its workers.
func StartFleet(config FleetConfig) (*Fleet, error) {
	if config.Workers == 0 {
		config.Workers = defaultWorkers
	}
	if config.Descriptors == 0 {
		config.Descriptors = defaultDescriptors
	}
	fleet := &Fleet{
		FleetConfig: config,
		Log:         childprocess.Output{Limit: maxOutputBytes},
		secret:      make([]byte, fleetSecretBytes),
	}
	rand.Read(fleet.secret)
	fleet.ctx, fleet.cancel = context.WithCancel(context.Background())
	if err := fleet.start(); err != nil {
		fleet.Close()
		return nil, err
	}
	go fleet.keepVerified()
	return fleet, nil
}

func (f *Fleet) start() (err error) {
	f.Discovery, err = StartDiscovery(f.Gate.Close)
	if err != nil {
		return err
	}
	for range f.FleetConfig.Workers {
		if _, err := f.Add(0); err != nil {
			return err
		}
	}
	if err := f.VerifyWorkers(); err != nil {
		return err
	}
	return f.startDaemon()
}

// Add starts one more worker and lists it, which closes the gate until the workers are verified
// again. warmupShare is the share of its full speed at which the worker starts; if it is 0, the
// worker has no warm-up.
func (f *Fleet) Add(warmupShare float64) (*Worker, error) {
	index := len(f.Workers)
	kind := workerKinds[index%len(workerKinds)]
	slots := kind.slots
	if f.WorkerSlots > 0 {
		slots = f.WorkerSlots
	}
	worker, err := StartWorker(WorkerConfig{
		Name:             fmt.Sprintf("s-%04d", index+1),
		Zone:             zoneNames[index/len(workerKinds)%len(zoneNames)],
		Kind:             kind.name,
		Slots:            slots,
		Speed:            kind.speed,
		RunTimeVariation: f.RunTimeVariation,
		WarmupShare:      warmupShare,
		Warmup:           warmup,
		Seed:             f.Seed + uint64(index),
		SendsReports:     true,
	}, &f.Ledger, f.secret)
	if err != nil {
		return nil, err
	}
	f.Workers = append(f.Workers, worker)
	host := Host{
		Host:   worker.Name,
		Dial:   worker.Addr,
		Site:   worker.Zone,
		Class:  worker.Kind,
		Block:  index / workersPerBlock,
		Health: HealthReady,
	}
	if warmupShare > 0 {
		host.BornMs = worker.Started.UnixMilli()
	}
	f.Discovery.Set(host)
	return worker, nil
}

// VerifyWorkers verifies all workers that are listed now, and opens the gate if they pass.
func (f *Fleet) VerifyWorkers() error { return f.Gate.Verify(f.ctx, f.Discovery.List(), f.secret) }

// keepVerified verifies the workers after each change of the list and at intervals, until the
// fleet is closed, the daemon ends or a verification fails.
func (f *Fleet) keepVerified() {
	ticker := time.NewTicker(verifyInterval)
	defer ticker.Stop()
	for {
		changed := f.Discovery.nextChange()
		if f.VerifyWorkers() != nil {
			return // the gate stays closed and reports the failure
		}
		select {
		case <-changed: // the list changed during the verification
			f.Gate.Close()
			continue
		default:
		}
		select {
		case <-f.ctx.Done():
			return
		case <-f.daemon.Ended():
			f.Gate.ClosePermanently(errors.New("the daemon has ended"))
			return
		case <-changed:
			f.Gate.Close()
		case <-ticker.C:
		}
	}
}

// AdminAddress returns the address of the daemon's admin API, which it reads from the daemon's log.
// It is empty if the daemon has not logged it yet.
func (f *Fleet) AdminAddress() string {
	_, rest, _ := strings.Cut(f.Log.String(), "admin API at ")
	addr, _, _ := strings.Cut(rest, "\"")
	return addr
}

// CPU returns the processor time that the daemon has used, or 0 if it cannot be read.
func (f *Fleet) CPU() time.Duration {
	const (
		clockTick   = 10 * time.Millisecond // USER_HZ is 100 on Linux
		userField   = 11                    // index in /proc/PID/stat of the field utime, counted after the command name
		systemField = 12                    // likewise of the field stime
	)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.PID()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTick
}

// PID returns the daemon's process ID.
func (f *Fleet) PID() int { return f.daemon.PID() }

// Close closes the gate, shuts the daemon down gracefully, or kills it if that takes too long, and
// stops the workers and the discovery service.
func (f *Fleet) Close() {
	f.Gate.Close()
	if f.daemon != nil {
		f.daemon.Stop()
	}
	f.cancel()
	for _, worker := range f.Workers {
		worker.Close()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
}
