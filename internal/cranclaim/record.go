package cranclaim

import "github.com/cranberrypick/cranberrypick/internal/cranlog"

// recordKind is the type of a record in a claim stream.
type recordKind uint8

const (
	kindClaim recordKind = iota + 1
	kindRelease
	kindRan
)

// record is the body of a record in a claim stream. The writer named in its
// envelope and the attempt identify the claim.
type record struct {
	Kind recordKind `cbor:"kind"`
	Key  Key        `cbor:"key"`
	// Attempt numbers the claims of one writer from 1. A release or report has
	// the attempt of the claim that it belongs to.
	Attempt uint64 `cbor:"attempt"`
	// Fingerprint is the hash of the request's content. Only claims have it.
	Fingerprint uint64 `cbor:"print,omitempty"`
	// SentMs is the latest platform time that the claimer knew before it sent
	// the claim, so it is never ahead of the log's time. Only claims have it.
	SentMs int64 `cbor:"sentMs,omitempty"`
}

// decodeRecord returns the record of an entry, or false if the entry is not a
// valid claim record.
func decodeRecord(entry cranlog.Entry) (record, bool) {
	r, err := cranlog.DecodeBody[record](entry)
	if err != nil {
		return record{}, false
	}
	known := r.Kind >= kindClaim && r.Kind <= kindRan
	return r, known && r.Attempt > 0
}
