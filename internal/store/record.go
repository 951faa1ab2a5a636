package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// checksumSize is the size of a record's checksum in bytes.
const checksumSize = 8

// encode returns the stored form of a record: the schema version as a varint, a checksum over the id and the value, and
// the value as JSON.
func encode(r Record) ([]byte, error) {
	value, err := json.Marshal(r.Value)
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", r.ID, err)
	}
	raw := binary.AppendUvarint(nil, SchemaVersion)
	raw = binary.BigEndian.AppendUint64(raw, checksum(r.ID, value))
	return append(raw, value...), nil
}

// decode checks a stored record and returns its value, which is a slice of raw.
func decode(id string, raw []byte) ([]byte, error) {
	version, headerSize := binary.Uvarint(raw)
	if headerSize <= 0 || len(raw) < headerSize+checksumSize {
		return nil, fmt.Errorf("job %q: its record is cut off", id)
	}
	if version > SchemaVersion {
		return nil, fmt.Errorf("job %q: its record's schema is %d; this program knows %d", id, version, SchemaVersion)
	}
	value := raw[headerSize+checksumSize:]
	if binary.BigEndian.Uint64(raw[headerSize:]) != checksum(id, value) {
		return nil, fmt.Errorf("job %q: its record is damaged: the checksum is wrong", id)
	}
	return value, nil
}

// checksum covers the id too, so that a value that is stored under the wrong id is detected.
func checksum(id string, value []byte) uint64 {
	digest := xxhash.New()
	digest.WriteString(id)
	digest.Write([]byte{0})
	digest.Write(value)
	return digest.Sum64()
}
