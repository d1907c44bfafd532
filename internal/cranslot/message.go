package cranslot

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// Message is what one member tells another; it travels as JSON or CBOR. All
// that is to be said to a peer at one time is in one message.
type Message struct {
	wire wireMessage
}

// OutgoingMessage is a message and the member that it goes to.
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

// wireAsk asks for up to Slots slots of a group, for which Waiting requests
// wait. A later ask of the same member for the group replaces it.
type wireAsk struct {
	Group   string `json:"group"`
	Slots   int    `json:"slots"`
	Waiting int    `json:"waiting"`
}

// wireLoan hands a slot to a borrower, or back to its home.
type wireLoan struct {
	Instance string `json:"instance"`
	Index    int    `json:"index"`
	Epoch    uint64 `json:"epoch"`
	// ID grows with every loan of the slot under one epoch.
	ID uint64 `json:"id"`
}

// wireQuery asks a member whether it holds a slot under an epoch older than
// Epoch; the member refuses such loans from then on.
type wireQuery struct {
	Instance string `json:"instance"`
	Index    int    `json:"index"`
	Epoch    uint64 `json:"epoch"`
}

// wireAnswer answers a query. An answer with Held false is final.
type wireAnswer struct {
	Instance string `json:"instance"`
	Index    int    `json:"index"`
	Epoch    uint64 `json:"epoch"`
	Held     bool   `json:"held,omitempty"`
}

// wireSpare tells how many slots of a group the sender could lend, less the
// requests that wait there. It is a hint and goes along with loans and
// returns.
type wireSpare struct {
	Group string `json:"group"`
	Slots int    `json:"slots"`
}

// MarshalJSON encodes the message.
func (m Message) MarshalJSON() ([]byte, error) { return json.Marshal(m.wire) }

// UnmarshalJSON decodes the message.
func (m *Message) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &m.wire) }

// MarshalCBOR encodes the message.
func (m Message) MarshalCBOR() ([]byte, error) { return cbor.Marshal(m.wire) }

// UnmarshalCBOR decodes the message.
func (m *Message) UnmarshalCBOR(data []byte) error { return cbor.Unmarshal(data, &m.wire) }
