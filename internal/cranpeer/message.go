package cranpeer

import (
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
)

// Names of the JSON-RPC methods.
const (
	methodHello    = "hello"
	methodStatus   = "status"
	methodRecords  = "records"
	methodAppend   = "append"
	methodSnapshot = "snapshot"
	methodSlots    = "slots"
	methodAnswer   = "answer"
)

// helloRequest identifies the peer that opened a connection.
type helloRequest struct {
	Member string `json:"member"`
}

// emptyMessage is the request or the response of a method that has no data.
type emptyMessage struct{}

// Status is the status of a peer.
type Status struct {
	// Next is the offset of the next record that the peer will apply.
	Next uint64 `json:"next"`
	// ContactAgeMs is how long ago the peer last read from the log, not counting
	// records that it fetched from other peers.
	ContactAgeMs int64 `json:"contactAgeMs"`
	// ContactDurationMs is how long the peer has been in contact with the log
	// without interruption. It is zero if the peer can't reach the log.
	ContactDurationMs int64 `json:"contactForMs"`
}

// recordsRequest requests the recent records from an offset on.
type recordsRequest struct {
	From uint64 `json:"from"`
}

// recordsResponse holds recent records of a peer.
type recordsResponse struct {
	Records []cranplatform.Record `json:"records"`
	// Complete is false if the peer no longer holds the records back to the
	// requested offset.
	Complete bool `json:"whole"`
}

// appendRequest requests an append of records to a stream of the log.
type appendRequest struct {
	Stream   string   `json:"stream"`
	Payloads [][]byte `json:"payloads"`
}

// appendResponse holds the offset of the first record appended.
type appendResponse struct {
	First uint64 `json:"first"`
}

// Snapshot is the control state of a peer at an offset.
type Snapshot struct {
	// Next is the offset of the first record that is not applied to the state.
	Next uint64 `json:"next"`
	// State is the packed encoding of the state.
	State []byte `json:"state"`
	// Digest is the digest of the snapshot, by which a receiver verifies it.
	Digest uint64 `json:"digest"`
}

// slotsRequest carries a message for the slot broker.
type slotsRequest struct {
	Message cranslot.Message `json:"message"`
}

// answerRequest requests the cached answer for a key.
type answerRequest struct {
	Key string `json:"key"`
}

// Answer is the cached answer to a request of a caller. Found is false if the peer
// has none.
type Answer struct {
	Found  bool                `json:"found"`
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}
