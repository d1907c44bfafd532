package cranjob

const (
	// KeyFallback is the whole key of an owner's Fallback. It sorts after the keys of all other records of the topic,
	// so the newest records after FallbackPageStart are this one alone.
	KeyFallback = "~fallback"
	// FallbackPageStart is the key after which to request the newest records to get that record.
	FallbackPageStart = "~"
)

// Fallback is what an owner stores with the progress of its shard while the digest doesn't answer. It renews the
// claim, and publishes the final states that aren't in the digest yet.
type Fallback struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is that of the claim.
	Epoch uint64
	Ended []EndedJob
}

// EndedJob is the final state of a job.
type EndedJob struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	State State
}

// DecodeFallback decodes the value of a fallback record. It returns an error for a state that isn't final.
func DecodeFallback(value []byte) (Fallback, error) {
	f, err := decode[Fallback](KeyFallback, value)
	if err != nil {
		return Fallback{}, err
	}
	for _, e := range f.Ended {
		if !e.State.Final() || !e.State.Valid() {
			return Fallback{}, malformed(KeyFallback, "the state of a job isn't final")
		}
	}
	return *f, nil
}
