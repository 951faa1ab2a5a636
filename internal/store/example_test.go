package store_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"hollyyoke.example/hollyyoke/internal/store"
)

// Records are written in the background and read with Load.
func Example() {
	directory, err := os.MkdirTemp("", "store")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(directory)
	file, err := store.Open(filepath.Join(directory, "jobs.db"), store.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer file.Close()

	stored := make(chan error)
	file.Put([]store.Record{{ID: "renewal-7", Value: "ready"}}, func(err error) { stored <- err })
	fmt.Println("stored:", <-stored)

	states, err := store.Load(file, func(id string, value []byte) (state string, keep bool, err error) {
		err = json.Unmarshal(value, &state)
		return id + " is " + state, true, err
	})
	fmt.Println(states, err)

	// Output:
	// stored: <nil>
	// [renewal-7 is ready] <nil>
}
