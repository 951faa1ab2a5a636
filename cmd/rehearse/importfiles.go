package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// spool stores the sorted runs of an import as files in a directory.
type spool struct {
	dir   string
	count int // number of runs created
}

func (s *spool) path(number int) string { return filepath.Join(s.dir, strconv.Itoa(number)) }

// Create creates the next run.
func (s *spool) Create() (io.WriteCloser, error) {
	number := s.count
	s.count++
	return os.OpenFile(s.path(number), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Open opens a run by its number, from 0.
func (s *spool) Open(number int) (io.ReadCloser, error) { return os.Open(s.path(number)) }

// rejectsFile writes malformed entries as JSON lines.
type rejectsFile struct {
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error // first error of add
}

func createRejects(path string) (*rejectsFile, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriter(file)
	return &rejectsFile{file: file, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

// add writes an entry. Its first error is returned by close.
func (f *rejectsFile) add(reject recording.Reject) {
	err := f.encoder.Encode(reject)
	if f.err == nil {
		f.err = err
	}
}

// close completes the file and returns all errors.
func (f *rejectsFile) close() error { return errors.Join(f.err, f.buffer.Flush(), f.file.Close()) }
