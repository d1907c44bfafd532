package cranstandin

import (
	"unicode/utf8"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// checkStream refuses an invalid stream name. The names "." and ".." are refused
// because they are dot segments in the path of a request.
func checkStream(name string) error {
	if name == "" || len(name) > maxStreamNameBytes || !utf8.ValidString(name) || name == "." || name == ".." {
		return cranfault.New(cranfault.Invalid, "use a name of 1 to 200 bytes of UTF-8 other than . and ..",
			"%.40q isn't a valid stream name", name)
	}
	return nil
}

// checkAppend refuses an append that is empty or too large.
func checkAppend(name string, payloads [][]byte) error {
	if err := checkStream(name); err != nil {
		return err
	}
	if len(payloads) == 0 {
		return cranfault.New(cranfault.Invalid, "append one payload or more", "the append has no payload")
	}
	total := 0
	largest := 0
	for _, p := range payloads {
		total += len(p)
		largest = max(largest, len(p))
	}
	if len(payloads) > maxPayloads || largest > maxPayloadBytes || total > maxAppendBytes {
		return cranfault.New(cranfault.TooLarge, "split the append or its payloads",
			"the append has %d payloads, %d bytes in total and %d in the largest; the limits are %d, %d and %d",
			len(payloads), total, largest, maxPayloads, maxAppendBytes, maxPayloadBytes)
	}
	return nil
}

// checkRead refuses a read with an invalid stream name, record limit or wait.
func checkRead(name string, maxRecords, waitMs int) error {
	if err := checkStream(name); err != nil {
		return err
	}
	if maxRecords < 1 || waitMs < 0 {
		return cranfault.New(cranfault.Invalid, "ask for one record or more and wait zero milliseconds or more",
			"the read asks for at most %d records and a wait of %d ms", maxRecords, waitMs)
	}
	return nil
}
