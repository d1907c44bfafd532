package cranstate

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// wireEvent is the encoded form of a record's body: the kind of the event and
// its fields.
type wireEvent struct {
	Kind string          `cbor:"kind"`
	Body cbor.RawMessage `cbor:"body"`
}

// MaxBody is the size limit of a record's body in bytes.
const MaxBody = 1 << 20

var (
	encMode = mustEncMode()
	decMode = mustDecMode()

	// eventHandlers maps each kind of event to its handler.
	eventHandlers = map[string]eventHandler{}
)

// eventHandler decodes and applies one kind of event.
type eventHandler struct {
	decode func(body []byte) (Event, error)
	reduce func(c *applyContext, e Event) *cranfault.Fault
}

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  1 << 17,
		MaxMapPairs:       1 << 17,
		MaxNestedLevels:   16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func init() {
	register((*applyContext).publish)
	register((*applyContext).join)
	register((*applyContext).heartbeat)
	register((*applyContext).leave)
	register((*applyContext).requestLease)
	register((*applyContext).returnLease)
	register((*applyContext).observeInstances)
	register((*applyContext).observeProbes)
	register((*applyContext).observeActions)
	register((*applyContext).proposeStop)
	register((*applyContext).cancelStop)
	register((*applyContext).proposeWave)
	register((*applyContext).resumeWave)
	register((*applyContext).cancelWave)
}

// register adds the handler of one kind of event.
func register[T Event](reduce func(*applyContext, T) *cranfault.Fault) {
	var zero T
	eventHandlers[zero.kind()] = eventHandler{
		decode: func(body []byte) (Event, error) {
			var e T
			err := decMode.Unmarshal(body, &e)
			return e, err
		},
		reduce: func(c *applyContext, e Event) *cranfault.Fault { return reduce(c, e.(T)) },
	}
}

// EncodeEvent returns the body of a record that carries the event.
func EncodeEvent(e Event) ([]byte, error) {
	body, err := encMode.Marshal(e)
	if err != nil {
		return nil, cranfault.New(cranfault.Malformed, "report this as a bug in the program", "event %s: %v", e.kind(), err)
	}
	return encMode.Marshal(wireEvent{Kind: e.kind(), Body: body})
}

// DecodeEvent decodes the body of a record. It returns a fault of kind
// malformed for anything that EncodeEvent cannot have written.
func DecodeEvent(data []byte) (Event, error) {
	if len(data) > MaxBody {
		return nil, malformed("body of %d bytes exceeds the limit of %d", len(data), MaxBody)
	}
	var w wireEvent
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, malformed("%v", err)
	}
	h, ok := eventHandlers[w.Kind]
	if !ok {
		return nil, malformed("unknown kind of event %q", w.Kind)
	}
	e, err := h.decode(w.Body)
	if err != nil {
		return nil, malformed("%s: %v", w.Kind, err)
	}
	return e, nil
}

func malformed(format string, args ...any) error {
	return cranfault.New(cranfault.Malformed, "find the writer of the record and update it", format, args...)
}
