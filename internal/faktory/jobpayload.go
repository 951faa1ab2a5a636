package faktory

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"hollyyoke.example/hollyyoke/decision"
	"hollyyoke.example/hollyyoke/internal/dispatch"
	"hollyyoke.example/hollyyoke/internal/jobs"
)

const (
	minJidLength = 8
	maxJidLength = 256

	// maxCustomDuration is the maximum, in nanoseconds, of a duration in a job's
	// custom object. It prevents an overflow when the duration is converted from
	// floating point to a time.Duration.
	maxCustomDuration = 1e12

	// maxScheduledSeconds is the latest Unix time of a schedule, in seconds: the
	// largest one whose nanoseconds fit an int64, rounded down.
	maxScheduledSeconds = 9_000_000_000

	// maxRetries is the maximum of a durable job's retry field.
	maxRetries = 1000

	// maxLease limits a durable job's reserve_for and the extensions of its lease.
	maxLease = 24 * time.Hour

	// maxReserveSeconds limits reserve_for before it is converted, so that it fits a
	// time.Duration.
	maxReserveSeconds = 1e9
)

// Errors in a job's JSON. Their texts are sent to producers and to the upstream
// server.
var (
	errScheduledOnDirectQueue = errors.New("at: its queue is direct, and keeps no jobs for later")
	errInvalidJid             = errors.New("jid: 8 to 256 characters without spaces are needed")
	errMissingArgs            = errors.New("args: an array is needed")
	errUnknownClass           = errors.New("queue and jobtype: neither is a class served here")
	errAmbiguousClass         = errors.New("queue and jobtype: they name two classes")
	errInvalidTime            = errors.New("at: no time")
)

// work holds the fields of a job's JSON that are used here; the worker gets the
// whole JSON.
//
// Decoding errors of encoding/json are sent to the peer. They contain the name of
// this type and the fields of the anonymous struct Custom, which therefore must
// not change.
type work struct {
	Jid               string            `json:"jid"`
	Queue             string            `json:"queue"`
	Jobtype           string            `json:"jobtype"`
	Args              []json.RawMessage `json:"args"`
	RunAt             string            `json:"at"`
	Retry             *int              `json:"retry"`
	ReserveForSeconds float64           `json:"reserve_for"`
	Custom            struct {
		LeftMs   float64 `json:"time_left_ms"`
		EffortUs float64 `json:"effort_us"`
		Slots    float64 `json:"slots"`
		Key      string  `json:"key"`
		Repeat   bool    `json:"repeat"`
	} `json:"custom"`
}

// incomingJob is a job that a producer or the upstream server has sent.
type incomingJob struct {
	request     dispatch.Request // its body is the job's JSON itself
	payload     work
	scheduledAt time.Duration // Unix time before which it must not run; 0 if it may run now
}

// parseJob decodes a job's JSON. classes maps the names of classes to their
// indexes. After an error, job.request.ID is still set if the JSON contains a valid
// jid.
func parseJob(raw []byte, classes map[string]int, now time.Duration) (job incomingJob, err error) {
	payload := &job.payload
	err = json.Unmarshal(raw, payload)
	if err != nil {
		return job, err
	}
	if !isValidJid(payload.Jid) {
		return job, errInvalidJid
	}
	job.request = dispatch.Request{
		ID:          payload.Jid,
		Key:         payload.Custom.Key,
		Body:        raw,
		Slots:       payload.Custom.Slots,
		ReceivedAt:  now,
		ClientRetry: payload.Custom.Repeat,
	}
	if payload.Args == nil {
		return job, errMissingArgs
	}
	job.request.Class, err = payload.class(classes)
	if err != nil {
		return job, err
	}
	job.scheduledAt, err = parseSchedule(payload.RunAt, now)
	if err != nil {
		return job, err
	}
	if milliseconds := payload.Custom.LeftMs; milliseconds > 0 {
		job.request.TimeLeft = time.Duration(min(milliseconds*float64(time.Millisecond), maxCustomDuration))
	}
	if microseconds := payload.Custom.EffortUs; microseconds > 0 {
		job.request.Work = time.Duration(min(microseconds*float64(time.Microsecond), maxCustomDuration))
	}
	return job, nil
}

// isValidJid reports whether jid has a permitted length and only graphic ASCII
// characters.
func isValidJid(jid string) bool {
	return len(jid) >= minJidLength && len(jid) <= maxJidLength && hasOnlyGraphicASCII(jid)
}

// class returns the index of the class that the job's queue, its type or both name.
func (w *work) class(classes map[string]int) (int, error) {
	byQueue, queueKnown := classes[w.Queue]
	byType, typeKnown := classes[w.Jobtype]
	switch {
	case !queueKnown && !typeKnown:
		return 0, errUnknownClass
	case queueKnown && typeKnown && byQueue != byType:
		return 0, errAmbiguousClass
	case queueKnown:
		return byQueue, nil
	}
	return byType, nil
}

// parseSchedule returns the Unix time at which a job may run, or 0 if it may run
// now.
func parseSchedule(schedule string, now time.Duration) (time.Duration, error) {
	if schedule == "" {
		return 0, nil
	}
	when, err := time.Parse(time.RFC3339Nano, schedule)
	if err != nil {
		return 0, errInvalidTime
	}
	if !when.After(time.Unix(0, int64(now))) {
		return 0, nil
	}
	seconds := min(when.Unix(), maxScheduledSeconds)
	return time.Duration(time.Unix(seconds, int64(when.Nanosecond())).UnixNano()), nil
}

// encodeJob returns the JSON of a job for a request that came through another front
// end. The args are the request's key and body. A body that is not valid UTF-8 is
// encoded as base64, and the custom object then has the field encoding.
func encodeJob(request *dispatch.Request, class string) []byte {
	body := string(request.Body)
	var custom map[string]string
	if !utf8.Valid(request.Body) {
		body = base64.StdEncoding.EncodeToString(request.Body)
		custom = map[string]string{"encoding": "base64"}
	}
	raw, _ := json.Marshal(struct { // strings, and slices and maps of them, always marshal
		Jid     string            `json:"jid"`
		Queue   string            `json:"queue"`
		Jobtype string            `json:"jobtype"`
		Args    []string          `json:"args"`
		Custom  map[string]string `json:"custom,omitempty"`
	}{request.ID, class, class, []string{request.Key, body}, custom})
	return raw
}

// withFence returns a job's JSON with the fence of its lease added to the custom
// object.
func withFence(raw []byte, fence uint64) []byte {
	var job map[string]json.RawMessage
	err := json.Unmarshal(raw, &job)
	if err != nil {
		return raw // unexpected, as it was decoded when it was accepted
	}
	var custom map[string]json.RawMessage
	err = json.Unmarshal(job["custom"], &custom)
	if err != nil || custom == nil {
		custom = map[string]json.RawMessage{}
	}
	custom["fence"] = strconv.AppendUint(nil, fence, 10)
	job["custom"], _ = json.Marshal(custom) // raw messages that were decoded always marshal
	encoded, err := json.Marshal(job)
	if err != nil {
		return raw
	}
	return encoded
}

// durableJob returns the job of a class in the form in which it is stored.
func (j *incomingJob) durableJob(class *decision.Class) jobs.Job {
	stored := jobs.Job{
		ID:            j.request.ID,
		Class:         class.Name,
		NonIdempotent: class.Idempotency != decision.Idempotent,
		Payload:       bytes.Clone(j.request.Body),
		PayloadHash:   j.payload.hash(class.Name),
	}
	if j.payload.Retry != nil {
		retries := max(min(*j.payload.Retry, maxRetries), 0)
		stored.MaxAttempts = retries + 1
		stored.DiscardWhenExhausted = *j.payload.Retry < 0
	}
	if j.payload.ReserveForSeconds > 0 {
		stored.LeaseDuration = min(seconds(min(j.payload.ReserveForSeconds, maxReserveSeconds)), maxLease)
	}
	return stored
}

// hash returns a hash of the class, type and args of a job. Two PUSHes with the same
// jid are of the same job if these are equal; other fields, such as times, may differ
// between a PUSH and its repetition.
func (w *work) hash(class string) uint64 {
	digest := xxhash.New()
	digest.WriteString(class + "\x00" + w.Jobtype)
	for _, arg := range w.Args {
		var text bytes.Buffer
		json.Compact(&text, arg) // it has been decoded, so it is valid
		digest.Write(append(text.Bytes(), 0))
	}
	return digest.Sum64()
}
