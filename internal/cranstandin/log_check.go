package cranstandin

import (
	"unicode/utf8"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// checkStream refuses names that can't be a stream's.
func checkStream(name string) error {
	if name == "" || len(name) > maxStreamName || !utf8.ValidString(name) || name == "." || name == ".." {
		return cranfault.New(cranfault.Invalid, "use a name of 1 to 200 bytes of UTF-8 that isn't a dot path",
			"%.40q can't name a stream", name)
	}
	return nil
}

// checkAppend refuses an append that is empty or too large.
func checkAppend(name string, payloads [][]byte) error {
	if err := checkStream(name); err != nil {
		return err
	}
	if len(payloads) == 0 {
		return cranfault.New(cranfault.Invalid, "append one payload or more", "the append holds no payload")
	}
	total := 0
	largest := 0
	for _, p := range payloads {
		total += len(p)
		largest = max(largest, len(p))
	}
	if len(payloads) > maxPayloads || largest > maxPayloadBytes || total > maxAppendBytes {
		return cranfault.New(cranfault.TooLarge, "split the append or its payloads",
			"%d payloads, %d bytes in all and %d in the largest exceed %d, %d and %d",
			len(payloads), total, largest, maxPayloads, maxAppendBytes, maxPayloadBytes)
	}
	return nil
}

// checkRead refuses bounds that make no sense.
func checkRead(name string, maxRecords, waitMs int) error {
	if err := checkStream(name); err != nil {
		return err
	}
	if maxRecords < 1 || waitMs < 0 {
		return cranfault.New(cranfault.Invalid, "ask for one record or more and wait zero milliseconds or more",
			"a read of at most %d records with a wait of %d ms", maxRecords, waitMs)
	}
	return nil
}
