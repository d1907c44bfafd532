package cranslot

// Message is what one member tells another; it travels as JSON or CBOR. All
// that is to be said to a peer at one time is in one message.
type Message struct{}

// Outgoing is a message and the member that it goes to.
type Outgoing struct {
	To      string
	Message Message
}
