package handover

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
)

// Message is one line on the link. Fields that are nil or empty are not sent. The
// predecessor is the process that is replaced, the successor the one that replaces it.
type Message struct {
	Greeting       *Greeting       `json:"hello,omitempty"`          // first message of the predecessor
	IDs            string          `json:"names,omitempty"`          // accepted request ids, hashed; see ReadIDs
	Ready          bool            `json:"ready,omitempty"`          // the successor accepts clients
	Limits         *Limits         `json:"room,omitempty"`           // what the predecessor uses of the shared limits
	DiscoveryMoved string          `json:"discovery,omitempty"`      // new address of discovery
	List           json.RawMessage `json:"list,omitempty"`           // endpoint list in force
	OutOfService   *bool           `json:"out_of_service,omitempty"` // a drain has begun or ended
	Reservation    *Reservation    `json:"charge,omitempty"`         // an attempt went to a worker in slow start
	StoreReleased  bool            `json:"kept,omitempty"`           // the successor may open the store of durable jobs
}

// Greeting is the state of the predecessor with which the successor starts.
type Greeting struct {
	Discovery    string          `json:"discovery"`      // address of discovery; empty if there is none
	List         json.RawMessage `json:"list"`           // endpoint list in force
	OutOfService bool            `json:"out_of_service"` // the predecessor is drained
	IDKey        []byte          `json:"key"`            // key of the hash of request ids
}

// Limits is what a process uses of the limits that both processes share.
type Limits struct {
	Descriptors int   `json:"descriptors"`
	Memory      int64 `json:"memory"` // bytes
}

// Reservation is the part of a worker's slow-start budget that an attempt takes.
type Reservation struct {
	Worker string  `json:"backend"`
	Amount float64 `json:"amount"` // as passed to dispatch.Dispatcher.OnReserved
}

// ErrInvalidIDs is returned by ReadIDs if the text does not encode request ids.
var ErrInvalidIDs = errors.New("request ids cannot be decoded")

// idSize is the size in bytes of a hashed request id.
const idSize = 8

// ReadIDs decodes the hashed request ids of a message.
func (m *Message) ReadIDs() (ids []uint64, err error) {
	encoded, err := base64.StdEncoding.DecodeString(m.IDs)
	if err != nil || len(encoded)%idSize != 0 {
		return nil, ErrInvalidIDs
	}
	for ; len(encoded) > 0; encoded = encoded[idSize:] {
		ids = append(ids, binary.LittleEndian.Uint64(encoded))
	}
	return ids, nil
}
