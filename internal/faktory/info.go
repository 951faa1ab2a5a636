package faktory

import (
	"encoding/json"
	"time"

	"hollyyoke.example/hollyyoke/internal/jobs"
)

// infoReply is the JSON of the answer to INFO, with its fields in alphabetical
// order.
type infoReply struct {
	Faktory infoFaktory `json:"faktory"`
	Now     string      `json:"now"`
	Server  infoServer  `json:"server"`
}

type infoServer struct {
	CommandCount  uint64 `json:"command_count"`
	Connections   int    `json:"connections"`
	Description   string `json:"description"`
	UptimeSeconds int    `json:"uptime"`
}

type infoFaktory struct {
	*infoDurable
	Tasks          map[string]infoSize `json:"tasks"`
	TotalEnqueued  int                 `json:"total_enqueued"`
	TotalFailures  uint64              `json:"total_failures"`
	TotalProcessed uint64              `json:"total_processed"`
	TotalQueues    int                 `json:"total_queues"`
	TotalRejected  uint64              `json:"total_refused"`
}

// infoDurable is present if queues are durable.
type infoDurable struct {
	Paused []string       `json:"paused"`
	Queues map[string]int `json:"queues"` // number of ready jobs, by queue
}

type infoSize struct {
	Size int `json:"size"`
}

// infoDocument returns the answer to INFO.
func (s *Server) infoDocument() []byte {
	now := s.dispatcher.Loop.Now()
	counts := s.dispatcher.Counts()
	inProgress := 0
	parked := 0
	for _, worker := range s.workers {
		inProgress += worker.inProgress
		parked += len(worker.parked)
	}
	faktory := infoFaktory{
		Tasks: map[string]infoSize{
			"Working": {inProgress},
			"Parked":  {parked},
		},
		TotalEnqueued:  s.dispatcher.Unanswered(),
		TotalFailures:  counts.Failed,
		TotalProcessed: counts.Served,
		TotalQueues:    len(s.classIndexes),
		TotalRejected:  counts.Rejected,
	}
	if s.durable != nil {
		s.addDurableInfo(&faktory)
	}
	raw, _ := json.Marshal(infoReply{ // numbers and strings always marshal
		Faktory: faktory,
		Now:     time.Unix(0, int64(now)).UTC().Format(time.RFC3339),
		Server: infoServer{
			CommandCount:  s.commandCount,
			Connections:   s.connections.Len(),
			Description:   "hollyyoke",
			UptimeSeconds: int((now - s.startedAt).Seconds()),
		},
	})
	return raw
}

// addDurableInfo adds the numbers of stored jobs to the answer to INFO.
func (s *Server) addDurableInfo(faktory *infoFaktory) {
	counts := s.durable.Counts()
	waiting := map[string]int{}
	for name, class := range s.classIndexes {
		if s.durable.classes[class] {
			waiting[name] = s.durable.ReadyCount(name)
		}
	}
	faktory.infoDurable = &infoDurable{
		Paused: s.durable.scheduler.Paused(),
		Queues: waiting,
	}
	faktory.TotalEnqueued = counts[jobs.Ready] + counts[jobs.Accepted]
	faktory.Tasks["Scheduled"] = infoSize{counts[jobs.Scheduled]}
	faktory.Tasks["Retries"] = infoSize{counts[jobs.Waiting]}
	faktory.Tasks["Dead"] = infoSize{counts[jobs.Dead]}
	faktory.Tasks["InDoubt"] = infoSize{counts[jobs.InDoubt]}
	faktory.Tasks["Leased"] = infoSize{counts[jobs.Leased] + counts[jobs.Started]}
	faktory.Tasks["Done"] = infoSize{counts[jobs.Done]}
}
