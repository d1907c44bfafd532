package cranclaim

import "github.com/cranberrypick/cranberrypick/internal/cranlog"

// recordKind tells the records of a claim stream apart.
type recordKind uint8

const (
	kindClaim recordKind = iota + 1
	kindRelease
	kindDone
)

// record is the body of a record in a claim stream. The writer of its
// envelope and the attempt together name the claim.
type record struct {
	Kind recordKind `cbor:"kind"`
	Key  Key        `cbor:"key"`
	// Attempt counts the claims of one writer from one; a release and a
	// report carry the attempt of the claim that they follow.
	Attempt uint64 `cbor:"attempt"`
	// Fingerprint is the hash of the request's content; claims only.
	Fingerprint uint64 `cbor:"print,omitempty"`
	// SentMs is the platform's clock as the claimer knew it before it sent
	// the claim, so it is never ahead of the log; claims only.
	SentMs int64 `cbor:"sentMs,omitempty"`
}

// decodeRecord returns the record of an entry, or false if it isn't one.
func decodeRecord(entry cranlog.Entry) (record, bool) {
	r, err := cranlog.DecodeBody[record](entry)
	if err != nil {
		return record{}, false
	}
	known := r.Kind >= kindClaim && r.Kind <= kindDone
	return r, known && r.Attempt > 0
}
