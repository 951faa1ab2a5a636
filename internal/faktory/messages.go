package faktory

// greeting is the JSON of a server's first reply.
type greeting struct {
	Version    int    `json:"v"`
	Salt       string `json:"s,omitempty"`
	Iterations int    `json:"i,omitempty"`
}

// hello is the JSON of HELLO, a client's first command.
//
// Decoding errors of encoding/json are sent to the peer and contain the name of
// this type, which therefore must not change.
type hello struct {
	Hostname string   `json:"hostname,omitempty"`
	Wid      string   `json:"wid,omitempty"` // worker ID; empty for a producer
	Pid      int      `json:"pid,omitempty"`
	Labels   []string `json:"labels,omitempty"`
	Version  int      `json:"v"`
	Hash     string   `json:"pwdhash,omitempty"`
}

// beatMessage is the JSON of BEAT.
//
// It is an alias of an anonymous struct: decoding errors of encoding/json, which
// are sent to the peer, list the fields of an anonymous struct. Therefore the
// fields must not change, and the type must stay anonymous.
type beatMessage = struct {
	Wid   string `json:"wid"`
	State string `json:"current_state"`
}

// word is the JSON of a worker's message about one job: ACK, FAIL, START and
// TRACK SET.
//
// Decoding errors of encoding/json are sent to the peer and contain the name of
// this type, which therefore must not change.
type word struct {
	Jid     string `json:"jid"`
	Fence   uint64 `json:"fence"`   // of the lease that the message is about; 0 for the job's newest lease
	Started *bool  `json:"started"` // in FAIL: false if the worker never started the job
	Type    string `json:"errtype"`
	Message string `json:"message"`
	Percent int    `json:"percent"`
	Desc    string `json:"desc"`
	Until   string `json:"reserve_until"`
}

// heartbeat is the JSON of a BEAT that is sent upstream.
type heartbeat struct {
	Wid string `json:"wid"`
}

// beatReply is the JSON of an answer to BEAT other than a plain OK.
type beatReply struct {
	State string `json:"state"` // what the worker must do: quiet or terminate
}

// closeMessage is the JSON of an ACK or FAIL that is sent upstream.
type closeMessage struct {
	Jid     string `json:"jid"`
	Type    string `json:"errtype,omitempty"`
	Message string `json:"message,omitempty"`
}

// mutateMessage is the JSON of MUTATE.
//
// It is an alias of an anonymous struct: decoding errors of encoding/json, which
// are sent to the peer, list the fields of an anonymous struct. Therefore the
// fields must not change, and the type must stay anonymous.
type mutateMessage = struct {
	Cmd    string `json:"cmd"`
	Target string `json:"target"`
	Filter struct {
		Jobtype string   `json:"jobtype"`
		Jids    []string `json:"jids"`
		Regexp  string   `json:"regexp"`
	} `json:"filter"`
}
