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

// ClassConfig is a class of the daemon's configuration.
type ClassConfig struct {
	Name      string
	Retryable bool
	Timeout   time.Duration // the longest that a client of it waits
}

// FleetConfig says what surroundings to start.
type FleetConfig struct {
	Daemon      string // path of the program
	Dir         string // for the daemon's files; it must exist
	Classes     []ClassConfig
	Workers     int     // default 6; one in three is small and slow, as at the real site
	Cores       float64 // of each worker; 0: by its kind
	Seed        uint64
	Faktory     bool // start the Faktory front end too
	Descriptors int  // that the daemon's configuration allows; default 4096
	Noise       float64

	Operator string // path of the daemon's operator file; empty: none
}

const (
	defaultWorkers     = 6
	defaultDescriptors = 4096
)

// Fleet is a running rehearsal: workers, a discovery service that lists them, their ledger and
// gate, and the daemon in front of them. The daemon's configuration and environment name no other
// worker. It must be closed, and is for one goroutine, but for Ledger, Gate, Log and Discovery.
type Fleet struct {
	FleetConfig
	Ledger      Ledger
	Gate        Gate
	Discovery   *Discovery
	Workers     []*Worker
	Addr        string // of the HTTP front end
	FaktoryAddr string // of the Faktory front end; empty: not started
	Password    string // of the Faktory front end, random, so that no other worker can log in
	Log         childprocess.Output

	secret []byte
	daemon *daemonprocess.Process // nil: not started
	ctx    context.Context
	cancel context.CancelFunc
}

const (
	verifyInterval   = 2 * time.Second
	warmup           = 6 * time.Second // of workers that are added with a warm-up
	workersPerBlock  = 4
	fleetSecretBytes = 32
)

// workerKind is a kind of machine, with the figures of the real site.
type workerKind struct {
	name  string
	cores float64
	speed float64
}

var workerKinds = []workerKind{{"standard", 3, 1}, {"standard", 3, 0.9}, {"small", 2, 0.6}}

var sites = []string{"zarqa-east", "russeifa", "hashemiya"}

// StartFleet starts everything and verifies the workers.
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
// again. warmupShare is the share of its speed at which it starts; 0: no warm-up.
func (f *Fleet) Add(warmupShare float64) (*Worker, error) {
	index := len(f.Workers)
	kind := workerKinds[index%len(workerKinds)]
	cores := kind.cores
	if f.Cores > 0 {
		cores = f.Cores
	}
	worker, err := StartWorker(WorkerConfig{
		Name:         fmt.Sprintf("s-%04d", index+1),
		Site:         sites[index/len(workerKinds)%len(sites)],
		Class:        kind.name,
		Cores:        cores,
		Speed:        kind.speed,
		Noise:        f.Noise,
		WarmupShare:  warmupShare,
		Warmup:       warmup,
		Seed:         f.Seed + uint64(index),
		SendsReports: true,
	}, &f.Ledger, f.secret)
	if err != nil {
		return nil, err
	}
	f.Workers = append(f.Workers, worker)
	host := Host{
		Host:   worker.Name,
		Dial:   worker.Addr,
		Site:   worker.Site,
		Class:  worker.Class,
		Block:  index / workersPerBlock,
		Health: HealthReady,
	}
	if warmupShare > 0 {
		host.BornMs = worker.Started.UnixMilli()
	}
	f.Discovery.Set(host)
	return worker, nil
}

// VerifyWorkers challenges all workers that are listed now.
func (f *Fleet) VerifyWorkers() error { return f.Gate.Verify(f.ctx, f.Discovery.List(), f.secret) }

// keepVerified verifies the workers again after each change of the list and at intervals.
func (f *Fleet) keepVerified() {
	ticker := time.NewTicker(verifyInterval)
	defer ticker.Stop()
	for {
		changed := f.Discovery.nextChange()
		if f.VerifyWorkers() != nil {
			return // the gate keeps the failure
		}
		select {
		case <-changed: // during the verification
			f.Gate.Close()
			continue
		default:
		}
		select {
		case <-f.ctx.Done():
			return
		case <-f.daemon.Ended():
			f.Gate.CloseForGood(errors.New("the daemon has ended"))
			return
		case <-changed:
			f.Gate.Close()
		case <-ticker.C:
		}
	}
}

// AdminAddress is the address of the daemon's admin API, from its log; empty: not known yet.
func (f *Fleet) AdminAddress() string {
	_, rest, _ := strings.Cut(f.Log.String(), "admin API at ")
	addr, _, _ := strings.Cut(rest, "\"")
	return addr
}

// CPU is the processor time that the daemon has used; 0: not known.
func (f *Fleet) CPU() time.Duration {
	const (
		clockTick   = 10 * time.Millisecond // USER_HZ is 100 on Linux
		userField   = 11                    // of /proc/PID/stat, behind the command's name
		systemField = 12
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

// PID is the daemon's process id.
func (f *Fleet) PID() int { return f.daemon.PID() }

// Close shuts the daemon down gracefully, or kills it if that takes too long, and stops the rest.
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
