package cranlog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Limits of the decoder, which bound the memory that a malicious record can use.
const (
	maxNesting       = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 17
)

// maxWriterBytes is the maximum length of a writer's name.
const maxWriterBytes = 256

var (
	encodeMode = mustEncodeMode()
	decodeMode = mustDecodeMode()
)

// envelope is the encoded form of a record in the log.
type envelope struct {
	// Writer is never empty.
	Writer string `cbor:"writer"`
	// Seq counts from one.
	Seq  uint64 `cbor:"seq"`
	Body []byte `cbor:"body"`
}

// Envelope holds the writer, the sequence number and the body of a record that
// is to be appended.
type Envelope struct {
	writer string
	seq    uint64
	body   []byte
}

// NewEnvelope returns the envelope of a body. The writer is the incarnation of a
// process and must not be empty; seq counts from one without gaps.
func NewEnvelope(writer string, seq uint64, body []byte) Envelope {
	return Envelope{writer: writer, seq: seq, body: body}
}

// Encode returns the payload of the record in CBOR, with the core deterministic
// encoding of RFC 8949, so that equal envelopes give equal bytes.
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
	// malformed is set for a record without a valid envelope, whose writer,
	// sequence number and body are empty.
	malformed bool
}

// NewEntry returns the entry that a reader of the log gets for a record with the
// given offset, time and envelope.
func NewEntry(offset uint64, timeMs int64, e Envelope) Entry {
	return Entry{offset: offset, timeMs: timeMs, writer: e.writer, seq: e.seq, body: e.body}
}

// Offset returns the offset of the record in its stream.
func (e Entry) Offset() uint64 { return e.offset }

// TimeMs returns the platform's clock when the record was appended, in
// milliseconds since the Unix epoch.
func (e Entry) TimeMs() int64 { return e.timeMs }

// Writer returns the incarnation that appended the record.
func (e Entry) Writer() string { return e.writer }

// Seq returns the writer's sequence number.
func (e Entry) Seq() uint64 { return e.seq }

// Body returns the body of the record. The caller must not change it.
func (e Entry) Body() []byte { return e.body }

// Malformed reports whether the record has no valid envelope. Every reader must
// skip such a record.
func (e Entry) Malformed() bool { return e.malformed }

// Decode decodes the envelope of a record. If the payload isn't a valid
// envelope, it returns an entry marked as malformed and a fault of kind
// cranfault.Malformed.
func Decode(record cranplatform.Record) (Entry, error) {
	entry := Entry{offset: record.Offset, timeMs: record.TimeMs}
	var wire envelope
	err := decodeMode.Unmarshal(record.Data, &wire)
	if err != nil {
		entry.malformed = true
		return entry, malformed(record.Offset, err.Error())
	}
	reason := wire.invalidReason()
	if reason != "" {
		entry.malformed = true
		return entry, malformed(record.Offset, reason)
	}
	entry.writer = wire.Writer
	entry.seq = wire.Seq
	entry.body = wire.Body
	return entry, nil
}

// invalidReason returns what is wrong with the envelope, or the empty string if
// it is valid.
func (e envelope) invalidReason() string {
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

// EncodeBody encodes a value as the body of a record, with the same encoding as
// the envelope.
func EncodeBody[T any](value T) ([]byte, error) {
	body, err := encodeMode.Marshal(value)
	return body, eris.Wrap(err, "encode the body of a log record")
}

// DecodeBody decodes the body of an entry. It returns a fault of kind
// cranfault.Malformed if the entry is malformed or its body doesn't decode to T.
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

// DecodePayload decodes a value encoded by EncodeBody, for streams whose records
// have no envelope. It returns the zero value with every error.
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
		"find the program that wrote it; readers skip the record",
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
