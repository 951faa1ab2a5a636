package store

import (
	"errors"

	"go.etcd.io/bbolt"
)

// Verify checks the structure of the file and the checksum of every record. It returns the number of records, and all
// problems that it found, joined into one error.
func (s *Store) Verify() (records int, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		var problems []error
		for problem := range tx.Check() {
			problems = append(problems, problem)
		}
		err := tx.Bucket(recordsBucket).ForEach(func(id, raw []byte) error {
			records++
			if _, err := decode(string(id), raw); err != nil {
				problems = append(problems, err)
			}
			return nil
		})
		return errors.Join(append(problems, err)...)
	})
	return records, err
}
