package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"hollyyoke.example/hollyyoke/internal/rehearsal/recording"
)

// writeAtomically writes a temporary file and renames it to path when it is complete, so that path never has a partial
// file.
func writeAtomically(path string, write func(io.Writer) error) (err error) {
	file, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			file.Close()
			os.Remove(file.Name())
		}
	}()
	err = write(file)
	if err != nil {
		return err
	}
	err = errors.Join(file.Chmod(0o644), file.Close())
	if err != nil {
		return err
	}
	return os.Rename(file.Name(), path)
}

// openRecording opens a recording. closeAll closes the reader and the file.
func openRecording(path string) (reader *recording.Reader, closeAll func(), err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	reader, err = recording.NewReader(file)
	if err != nil {
		file.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	closeAll = func() {
		reader.Close()
		file.Close()
	}
	return reader, closeAll, nil
}

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
