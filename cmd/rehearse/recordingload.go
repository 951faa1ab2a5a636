package main

import (
	"fmt"
	"time"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
	"hollyyoke.example/hollyyoke/internal/rehearsal/standin"
)

const (
	loadWindowS     = 10          // length of a window in seconds; the busiest window determines the load
	minClassTimeout = time.Second // shortest timeout of a class in the daemon's configuration
)

// recordingLoad is the load that a recording puts on workers.
type recordingLoad struct {
	entries  int
	workRate float64 // slots times seconds of work per second, in the busiest window
	classes  []standin.ClassConfig
}

// measureRecording reads a recording to its end and returns its load when it is replayed at a speed.
func measureRecording(path string, speed float64) (recordingLoad, error) {
	reader, closeAll, err := openRecording(path)
	if err != nil {
		return recordingLoad{}, err
	}
	defer closeAll()
	var load recordingLoad
	for _, class := range reader.Header.Classes {
		load.classes = append(load.classes, standin.ClassConfig{Name: class.Name, Retryable: class.Retryable, Timeout: minClassTimeout})
	}
	window := -1
	windowWork := 0.0 // slots times seconds
	err = reader.ForEach(func(entry *recording.Entry) error {
		load.entries++
		class := &load.classes[entry.Class]
		class.Timeout = max(class.Timeout, entry.Timeout)
		if number := int(entry.Arrival.Seconds() / speed / loadWindowS); number != window {
			window = number
			windowWork = 0
		}
		windowWork += entry.Slots * entry.Duration.Seconds()
		load.workRate = max(load.workRate, windowWork/loadWindowS)
		return nil
	})
	if err != nil {
		return recordingLoad{}, fmt.Errorf("%s: %w", path, err)
	}
	if load.entries == 0 {
		return recordingLoad{}, fmt.Errorf("%s: no entry to replay", path)
	}
	return load, nil
}
