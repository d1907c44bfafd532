package cranslot

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// Message is a message between two members, encoded as JSON or CBOR. It
// combines all asks, loans, returns, queries, answers and spare slots that one
// member has to send to another at one time.
type Message struct {
	wire wireMessage
}

// OutgoingMessage is a message with the member that it is addressed to.
type OutgoingMessage struct {
	To      string
	Message Message
}

// wireMessage is the encoded form of a Message.
type wireMessage struct {
	Asks    []wireAsk    `json:"asks,omitempty"`
	Loans   []wireLoan   `json:"loans,omitempty"`
	Returns []wireLoan   `json:"returns,omitempty"`
	Queries []wireQuery  `json:"queries,omitempty"`
	Answers []wireAnswer `json:"answers,omitempty"`
	Spares  []wireSpare  `json:"spares,omitempty"`
}

// wireAsk asks for up to Slots slots of a group that has Waiting requests
// queued at the sender. It replaces an earlier ask of the sender for the group.
type wireAsk struct {
	Group   string `json:"group"`
	Slots   int    `json:"slots"`
	Waiting int    `json:"waiting"`
}

// wireLoan identifies a loan of a slot. It is sent to the borrower to lend the
// slot, and to the owner to return it.
type wireLoan struct {
	Instance string `json:"instance"`
	Index    int    `json:"index"`
	Epoch    uint64 `json:"epoch"`
	// ID increases with every loan of the slot under one epoch.
	ID uint64 `json:"id"`
}

// wireQuery asks a member whether it holds a slot under an epoch older than
// Epoch. From then on the member refuses loans of older epochs.
type wireQuery struct {
	Instance string `json:"instance"`
	Index    int    `json:"index"`
	Epoch    uint64 `json:"epoch"`
}

// wireAnswer is the answer to a query. If Held is false the answer is final.
type wireAnswer struct {
	Instance string `json:"instance"`
	Index    int    `json:"index"`
	Epoch    uint64 `json:"epoch"`
	Held     bool   `json:"held,omitempty"`
}

// wireSpare states how many slots of a group the sender can lend, minus the
// requests that wait there. It is a hint that is sent along with loans and
// returns.
type wireSpare struct {
	Group string `json:"group"`
	Slots int    `json:"slots"`
}

// MarshalJSON encodes the message as JSON.
func (m Message) MarshalJSON() ([]byte, error) { return json.Marshal(m.wire) }

// UnmarshalJSON decodes the message from JSON.
func (m *Message) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &m.wire) }

// MarshalCBOR encodes the message as CBOR.
func (m Message) MarshalCBOR() ([]byte, error) { return cbor.Marshal(m.wire) }

// UnmarshalCBOR decodes the message from CBOR.
func (m *Message) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &m.wire) }
