package cranpeer

import (
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// Names of the methods.
const (
	methodHello    = "hello"
	methodStatus   = "status"
	methodRecords  = "records"
	methodAppend   = "append"
	methodSnapshot = "snapshot"
	methodSlots    = "slots"
	methodAnswer   = "answer"
)

type helloRequest struct {
	Member string `json:"member"`
}

type nothing struct{}

// Status is what a peer says of itself.
type Status struct {
	// Next is the offset that the peer applies next.
	Next uint64 `json:"next"`
	// ContactAgeMs is how long ago the peer last read from the log itself.
	ContactAgeMs int64 `json:"contactAgeMs"`
	// ContactDurationMs is for how long the peer has been in contact with the log
	// without a break, zero if it is not.
	ContactDurationMs int64 `json:"contactForMs"`
}

type recordsRequest struct {
	From uint64 `json:"from"`
}

type recordsAnswer struct {
	Records []cranplatform.Record `json:"records"`
	// Whole is false if the peer's memory does not reach back to From.
	Whole bool `json:"whole"`
}

type appendRequest struct {
	Stream   string   `json:"stream"`
	Payloads [][]byte `json:"payloads"`
}

type appendAnswer struct {
	First uint64 `json:"first"`
}

// Snapshot is a peer's state at an offset.
type Snapshot struct {
	// Next is the offset of the first record that is not part of the state.
	Next uint64 `json:"next"`
	// State is the encoded state.
	State []byte `json:"state"`
	// Digest is that of a snapshot of the state at the offset.
	Digest uint64 `json:"digest"`
}

type slotsRequest struct {
	Message cranslot.Message `json:"message"`
}

type answerRequest struct {
	Key string `json:"key"`
}

// Answer is an answer to a caller that a peer keeps.
type Answer struct {
	Found  bool                `json:"found"`
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}
