package cranlog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Limits of the decoder, so that a hostile record can't cost much memory.
const (
	maxNesting       = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 17
)

// maxWriterBytes bounds the name of a writer.
const maxWriterBytes = 256

var (
	encodeMode = mustEncodeMode()
	decodeMode = mustDecodeMode()
)

// envelope is the form of a record in the log.
type envelope struct {
	// Writer is never empty.
	Writer string `cbor:"writer"`
	// Seq counts from one.
	Seq  uint64 `cbor:"seq"`
	Body []byte `cbor:"body"`
}

// Envelope is the identified content of a record before it is appended.
type Envelope struct {
	writer string
	seq    uint64
	body   []byte
}

// NewEnvelope returns the envelope of a body. The writer is the incarnation
// of a process and not empty, and seq counts from one without gaps.
func NewEnvelope(writer string, seq uint64, body []byte) Envelope {
	return Envelope{writer: writer, seq: seq, body: body}
}

// Encode returns the payload of the record: CBOR in the core deterministic
// encoding of RFC 8949, the same bytes every time.
func (e Envelope) Encode() ([]byte, error) {
	wire := envelope{Writer: e.writer, Seq: e.seq, Body: e.body}
	payload, err := encodeMode.Marshal(wire)
	return payload, eris.Wrap(err, "encode a log record")
}

// Entry is one record as read from the log.
type Entry struct {
	offset uint64
	timeMs int64
	writer string
	seq    uint64
	body   []byte
	// malformed records have no writer, sequence number or body.
	malformed bool
}

// NewEntry returns an entry as it would be read from the log.
func NewEntry(offset uint64, timeMs int64, e Envelope) Entry {
	return Entry{offset: offset, timeMs: timeMs, writer: e.writer, seq: e.seq, body: e.body}
}

// Offset returns the place of the record in its stream.
func (e Entry) Offset() uint64 { return e.offset }

// TimeMs returns the platform's clock at the append, in milliseconds since
// the epoch.
func (e Entry) TimeMs() int64 { return e.timeMs }

// Writer returns the incarnation that appended the record.
func (e Entry) Writer() string { return e.writer }

// Seq returns the writer's sequence number.
func (e Entry) Seq() uint64 { return e.seq }

// Body returns the content. The caller must not change it.
func (e Entry) Body() []byte { return e.body }

// Malformed reports whether the record carries no valid envelope. Such a
// record is passed over by every reader alike.
func (e Entry) Malformed() bool { return e.malformed }

// Decode reads the envelope of a record. A payload that isn't a valid
// envelope gives an entry with the malformed flag and a fault of kind
// cranfault.Malformed.
func Decode(record cranplatform.Record) (Entry, error) {
	entry := Entry{offset: record.Offset, timeMs: record.TimeMs}
	var wire envelope
	err := decodeMode.Unmarshal(record.Data, &wire)
	if err != nil {
		entry.malformed = true
		return entry, malformed(record.Offset, err.Error())
	}
	reason := wire.invalid()
	if reason != "" {
		entry.malformed = true
		return entry, malformed(record.Offset, reason)
	}
	entry.writer = wire.Writer
	entry.seq = wire.Seq
	entry.body = wire.Body
	return entry, nil
}

// invalid returns what is wrong with the envelope, or nothing.
func (e envelope) invalid() string {
	switch {
	case e.Writer == "":
		return "the writer is empty"
	case len(e.Writer) > maxWriterBytes:
		return "the writer's name is too long"
	case e.Seq == 0:
		return "the sequence number is zero"
	}
	return ""
}

// EncodeBody returns a value as the body of a record, in the same encoding as
// the envelope.
func EncodeBody[T any](value T) ([]byte, error) {
	body, err := encodeMode.Marshal(value)
	return body, eris.Wrap(err, "encode the body of a log record")
}

// DecodeBody reads the body of an entry. A body of another form, or of a
// malformed entry, gives a fault of kind cranfault.Malformed.
func DecodeBody[T any](entry Entry) (T, error) {
	if entry.malformed {
		var zero T
		return zero, malformed(entry.offset, "it has no envelope")
	}
	value, err := DecodePayload[T](entry.body)
	if err != nil {
		return value, malformed(entry.offset, err.Error())
	}
	return value, nil
}

// DecodePayload reads what EncodeBody wrote, for streams whose records carry
// no envelope. It gives the zero value with each error.
func DecodePayload[T any](payload []byte) (T, error) {
	var value T
	err := decodeMode.Unmarshal(payload, &value)
	if err != nil {
		var zero T
		return zero, eris.Wrap(err, "decode a log record")
	}
	return value, nil
}

func malformed(offset uint64, reason string) error {
	return cranfault.New(cranfault.Malformed,
		"find the program that wrote it; readers pass it over",
		"the record at offset %d is malformed: %s", offset, reason)
}

func mustEncodeMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
