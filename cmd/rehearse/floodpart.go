package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"hollyyoke.example/hollyyoke/internal/rehearsal/hostileload"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/recording/recordingpb"
	"hollyyoke.example/hollyyoke/internal/rehearsal/replay"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

const (
	firstKnownClient   = "127.9.0.1"
	floodWorkers       = 9
	floodLead          = time.Second // time from the start of a part to the first request of known clients
	maxHostileOverrun  = time.Minute // how much longer than known clients send hostile clients run at most
	knownKeys          = 997         // number of different keys of known clients' requests
	exhaustedLimit     = 16          // the daemon's descriptor limit while descriptors are exhausted
	maxConnectionsJSON = 64 << 10    // bytes of the admin API's answer
)

// floodPart is one part of a flood run: one daemon under load.
type floodPart struct {
	name           string
	operatorFile   string // empty if admission is off
	hostileClients int
	duringLoad     func(*standin.Fleet) // runs concurrently with the load; the part waits until it returns; may be nil
}

// runPart runs one part with a new daemon and returns its result.
func (c *floodCmd) runPart(part floodPart) (floodResult, error) {
	dir, err := os.MkdirTemp("", "hollyyoke-flood")
	if err != nil {
		return floodResult{}, err
	}
	defer os.RemoveAll(dir)
	reader, err := c.knownLoad()
	if err != nil {
		return floodResult{}, err
	}
	defer reader.Close()
	fleet, err := c.startFleet(dir, part.operatorFile)
	if err != nil {
		return floodResult{}, err
	}
	defer fleet.Close()
	stopHostile := c.startHostile(fleet.Addr, part.hostileClients)
	defer stopHostile()
	duringDone := make(chan struct{})
	go func() {
		defer close(duringDone)
		if part.duringLoad != nil {
			part.duringLoad(fleet)
		}
	}()
	startedAt := time.Now()
	cpuBefore := fleet.CPU()
	replayed, err := c.replayKnown(reader, fleet)
	if err != nil {
		return floodResult{}, err
	}
	result := floodResult{Name: part.name}
	result.CPUMsPerS = float64((fleet.CPU() - cpuBefore).Milliseconds()) / time.Since(startedAt).Seconds()
	if part.operatorFile != "" {
		result.Connections = connectionsJSON(fleet)
	}
	result.Hostile = stopHostile()
	<-duringDone
	result.evaluate(replayed, fleet)
	return result, nil
}

// knownLoad returns a recording of the known clients' requests at regular intervals: three status checks, then a
// renewal.
func (c *floodCmd) knownLoad() (*recording.Reader, error) {
	var file bytes.Buffer
	writer, err := recording.NewWriter(&file, &recordingpb.Header{
		Version: recording.Version,
		Classes: []*recordingpb.Class{{Name: classStatusCheck, Retryable: true}, {Name: classRenewal}},
	})
	if err != nil {
		return nil, err
	}
	count := int(c.Rate * c.Duration.Seconds())
	for number := range count {
		entry := c.knownEntry(number)
		if err := writer.Add(&entry); err != nil {
			return nil, err
		}
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return recording.NewReader(&file)
}

// knownEntry returns the entry of the known clients' request with the given number, which starts at 0.
func (c *floodCmd) knownEntry(number int) recording.Entry {
	entry := recording.Entry{
		Arrival:  floodLead + time.Duration(float64(number)/c.Rate*float64(time.Second)),
		Key:      uint64(number%knownKeys + 1),
		Timeout:  statusCheckDeadline,
		Duration: statusCheckWork,
		Effort:   statusCheckWork,
		Slots:    1,
	}
	if number%renewalShare == renewalShare-1 {
		entry.Class = 1
		entry.Timeout = renewalDeadline
		entry.Duration = renewalWork
		entry.Effort = renewalWork
	}
	return entry
}

// startFleet starts the daemon and the stand-ins for its workers. Connection admission is off if operatorFile is empty.
func (c *floodCmd) startFleet(dir, operatorFile string) (*standin.Fleet, error) {
	daemon, err := daemonPath(c.Daemon)
	if err != nil {
		return nil, err
	}
	if operatorFile != "" {
		operatorFile, err = filepath.Abs(operatorFile)
		if err != nil {
			return nil, err
		}
	}
	return standin.StartFleet(standin.FleetConfig{
		DaemonPath:  daemon,
		Dir:         dir,
		Workers:     floodWorkers,
		Seed:        c.Seed,
		Descriptors: c.Descriptors,
		Operator:    operatorFile,
		Classes: []standin.ClassConfig{
			{Name: classStatusCheck, Retryable: true, Timeout: statusCheckDeadline},
			{Name: classRenewal, Timeout: renewalDeadline},
		},
	})
}

// startHostile starts the hostile clients. They run until stop is called, which returns their counts, so that the daemon
// is under load until the last of the known clients has its answer, however late that comes.
func (c *floodCmd) startHostile(target string, clients int) (stop func() hostileload.Counts) {
	if clients == 0 {
		return func() hostileload.Counts { return hostileload.Counts{} }
	}
	config := hostileload.Config{
		Target:   target,
		Seed:     c.Seed,
		Clients:  clients,
		Sources:  c.Sources,
		Duration: floodLead + c.Duration + maxHostileOverrun,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	var totals hostileload.Counts
	go func() {
		defer close(ended)
		totals, _ = hostileload.Run(ctx, config)
	}()
	return func() hostileload.Counts {
		cancel()
		<-ended
		return totals
	}
}

// replayKnown sends the known clients' requests from consecutive addresses, and announces each one to the fleet's ledger.
func (c *floodCmd) replayKnown(reader *recording.Reader, fleet *standin.Fleet) (*replay.Result, error) {
	addresses := []netip.Addr{netip.MustParseAddr(firstKnownClient)}
	for len(addresses) < c.Clients {
		last := addresses[len(addresses)-1]
		addresses = append(addresses, last.Next())
	}
	announce := func(sent replay.Job) {
		fleet.Ledger.Announce(standin.Job{
			ID:          sent.ID,
			Class:       sent.Class,
			Retryable:   sent.Retryable,
			Path:        sent.Path,
			ServiceTime: sent.Entry.Duration,
			Slots:       sent.Entry.Slots,
		})
	}
	return replay.Run(context.Background(), reader, replay.Options{
		Target:            fleet.Addr,
		Seed:              c.Seed,
		Verified:          fleet.Gate.IsOpen,
		LocalAddresses:    addresses,
		LatencyObjectives: map[string]time.Duration{classStatusCheck: statusCheckObjective, classRenewal: renewalObjective},
		OnSend:            announce,
	})
}

// connectionsJSON returns the admin API's view of the connections, or nil if the API does not answer.
func connectionsJSON(fleet *standin.Fleet) json.RawMessage {
	response, err := http.Get("http://" + fleet.AdminAddress() + "/control/connections")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxConnectionsJSON))
	return text
}

// measureMiddleThird returns a function for floodPart.duringLoad that stores the processor time that the daemon uses in
// the middle third of the part.
func (c *floodCmd) measureMiddleThird(spent *time.Duration) func(*standin.Fleet) {
	return func(fleet *standin.Fleet) {
		time.Sleep(floodLead + c.Duration/3)
		before := fleet.CPU()
		time.Sleep(c.Duration / 3)
		*spent = fleet.CPU() - before
	}
}

// exhaustMiddleThird is like measureMiddleThird, and lowers the daemon's descriptor limit for that third. If the limit
// cannot be read, it neither lowers it nor stores a time.
func (c *floodCmd) exhaustMiddleThird(spent *time.Duration) func(*standin.Fleet) {
	return func(fleet *standin.Fleet) {
		time.Sleep(floodLead + c.Duration/3)
		before := fleet.CPU()
		restore, lowered := lowerDescriptorLimit(fleet.PID())
		if !lowered {
			return
		}
		defer restore()
		time.Sleep(c.Duration / 3)
		*spent = fleet.CPU() - before
	}
}

// lowerDescriptorLimit lowers a process's soft limit on descriptors to exhaustedLimit. restore sets the
// earlier limit again. lowered is false if the limit cannot be read.
func lowerDescriptorLimit(pid int) (restore func(), lowered bool) {
	var limit unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit) != nil {
		return nil, false
	}
	unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: exhaustedLimit, Max: limit.Max}, nil)
	restore = func() { unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil) }
	return restore, true
}
