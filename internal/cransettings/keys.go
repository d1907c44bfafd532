package cransettings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Units of the bounds.
const (
	kib = 1 << 10
	mib = 1 << 20

	maxPort = 65535
)

// Key describes one setting.
type Key struct {
	path, kind, unit, bound, meaning string
	// standard is the printed default; it is empty for a required key.
	standard string
	required bool
	assign   func(*Settings, item) *reason
	reset    func(*Settings)
	value    func(*Settings) string
}

// Path returns the key with its section, such as lease.heartbeatMs.
func (k Key) Path() string { return k.path }

// Kind returns the TOML type: integer, string or array of strings.
func (k Key) Kind() string { return k.kind }

// Unit returns the unit of the value, or the empty string.
func (k Key) Unit() string { return k.unit }

// Default returns the value that holds when the key is not given.
func (k Key) Default() string { return k.standard }

// AllowedValues returns the values allowed.
func (k Key) AllowedValues() string { return k.bound }

// Description returns what the key is for, in one sentence.
func (k Key) Description() string { return k.meaning }

// Required reports whether the key must be given.
func (k Key) Required() bool { return k.required }

// Value returns the value that holds in s, as it would stand in a file.
func (k Key) Value(s *Settings) string { return k.value(s) }

// Keys returns every key in the order of the settings page.
func Keys() []Key { return append([]Key(nil), keys...) }

// localPrefixes are the addresses of the machine itself.
var localPrefixes = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("::1/128")}

var keys = []Key{
	optional("id", "", "", nameBound, parseName, func(s *Settings) *string { return &s.id },
		"Name of the process; a random part is added at each start. Made up when not given."),
	required("dataCentre", nameBound, parseName, func(s *Settings) *string { return &s.dataCentre },
		"Data centre that the process runs in."),
	required("listen", addressBound, parseAddress, func(s *Settings) *netip.AddrPort { return &s.listen },
		"Address for callers."),
	required("peerListen", addressBound, parseAddress, func(s *Settings) *netip.AddrPort { return &s.peerListen },
		"Address for other entry instances."),
	required("adminListen", addressBound, parseAddress, func(s *Settings) *netip.AddrPort { return &s.adminListen },
		"Address for operators: metrics, readiness and status."),
	optional("advertise", "", netip.Addr{}, "an IP number that is not 0.0.0.0 or ::", parseIP,
		func(s *Settings) *netip.Addr { return &s.advertise },
		"IP number that peers use. That of `peerListen` when not given."),
	required("platform", "http://IP or http://IP:port", parsePlatform, func(s *Settings) *string { return &s.platform },
		"Base URL of the platform's service."),
	list("peers", nil, peersBound, parsePeer, func(s *Settings) *[]netip.AddrPort { return &s.peers },
		"Addresses of other entry instances, of which a newcomer asks a snapshot when the log has none; they may ask this one too."),
	list("adminAllow", localPrefixes, prefixBound, parsePrefix, func(s *Settings) *[]netip.Prefix { return &s.adminAllow },
		"Who may use `adminListen`; others are refused as strangers."),

	number("limits.maxBody", "bytes", mib, 1*kib, 64*mib, func(s *Settings) *int { return &s.limits.maxBody },
		"Largest request body."),
	number("limits.maxHeader", "bytes", 64*kib, 4*kib, mib, func(s *Settings) *int { return &s.limits.maxHeader },
		"Largest request header."),
	number("limits.maxAnswerBuffer", "bytes", 8*mib, 1*kib, 64*mib, func(s *Settings) *int { return &s.limits.maxAnswerBuffer },
		"Answers up to this size are held until they are whole; a longer one is passed on as it comes, and broken off visibly if it is cut short."),
	number("limits.maxConnections", "connections", 4096, 1, 65536, func(s *Settings) *int { return &s.limits.maxConnections },
		"Callers' connections that may be open; further callers wait to be connected."),
	number("limits.maxPeerMessage", "bytes", mib, 4*kib, 16*mib, func(s *Settings) *int { return &s.limits.maxPeerMessage },
		"Largest message of a peer."),

	millis("lease.durationMs", 4000, 500, 60_000, func(s *Settings) *time.Duration { return &s.lease.duration },
		"How long a lease lasts after its last renewal."),
	millis("lease.heartbeatMs", 1000, 50, 19_999, func(s *Settings) *time.Duration { return &s.lease.heartbeat },
		"Interval between renewals; under a third of `lease.durationMs`."),

	optional("log.stream", "", "control", nameBound, parseName, func(s *Settings) *string { return &s.log.stream },
		"Name of the control stream."),
	millis("log.batchWindowMs", 5, 0, 1000, func(s *Settings) *time.Duration { return &s.log.batchWindow },
		"How long an append waits for others to join it."),

	number("snapshot.everyRecords", "records", 1000, 10, 1_000_000, func(s *Settings) *int { return &s.snapshot.everyRecords },
		"Records between two snapshots."),
	millis("snapshot.everyMs", 60_000, 1000, 3_600_000, func(s *Settings) *time.Duration { return &s.snapshot.every },
		"Longest time between two snapshots."),

	number("wave.maxParallel", "instances", 4, 1, 1000, func(s *Settings) *int { return &s.wave.maxParallel },
		"Instances that one wave stops at once at most; budgets may allow fewer."),

	number("retry.budgetPercent", "percent", 10, 0, 100, func(s *Settings) *int { return &s.retry.budgetPercent },
		"Retries allowed per hundred requests."),
	number("retry.burst", "retries", 10, 0, 1000, func(s *Settings) *int { return &s.retry.burst },
		"Unused retries that may be saved up."),
	number("retry.maxAttempts", "attempts", 3, 1, 10, func(s *Settings) *int { return &s.retry.maxAttempts },
		"How often one request is sent at most, the first time included."),

	optional("output.level", "", LevelInfo, "debug, info, warn or error",
		oneOf(LevelDebug, LevelInfo, LevelWarn, LevelError), func(s *Settings) *Level { return &s.output.level },
		"Lowest level of log events that are written."),
	optional("output.format", "", FormatJSON, "json or console",
		oneOf(FormatJSON, FormatConsole), func(s *Settings) *Format { return &s.output.format },
		"Form of a line of the log output."),
}

func required[T any](path, bound string, parse parser[T], field func(*Settings) *T, meaning string) Key {
	var none T
	k := optional(path, "", none, bound, parse, field, meaning)
	k.required = true
	k.standard = ""
	return k
}

func optional[T any](path, unit string, standard T, bound string, parse parser[T], field func(*Settings) *T, meaning string) Key {
	return Key{
		path: path, kind: kindString, unit: unit, bound: bound, meaning: meaning,
		standard: printed(standard),
		assign: func(s *Settings, it item) *reason {
			v, wrong := parse(it)
			if wrong == nil {
				*field(s) = v
			}
			return wrong
		},
		reset: func(s *Settings) { *field(s) = standard },
		value: func(s *Settings) string { return printed(*field(s)) },
	}
}

func list[T fmt.Stringer](path string, standard []T, bound string, one parser[T], field func(*Settings) *[]T, meaning string) Key {
	k := optional(path, "", standard, bound, listOf(one), field, meaning)
	k.kind = kindStrings
	k.standard = printedList(standard)
	k.value = func(s *Settings) string { return printedList(*field(s)) }
	return k
}

// printedList returns a list as it would stand in a file.
func printedList[T fmt.Stringer](elements []T) string {
	quoted := make([]string, 0, len(elements))
	for _, v := range elements {
		quoted = append(quoted, strconv.Quote(v.String()))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

func number(path, unit string, standard, low, high int, field func(*Settings) *int, meaning string) Key {
	bound := fmt.Sprintf("%d to %d", low, high)
	k := optional(path, unit, standard, bound, parseNumber(low, high), field, meaning)
	k.kind = kindInteger
	return k
}

func millis(path string, standard, low, high int, field func(*Settings) *time.Duration, meaning string) Key {
	parse := func(it item) (time.Duration, *reason) {
		n, wrong := parseNumber(low, high)(it)
		return time.Duration(n) * time.Millisecond, wrong
	}
	bound := fmt.Sprintf("%d to %d", low, high)
	k := optional(path, "ms", time.Duration(standard)*time.Millisecond, bound, parse, field, meaning)
	k.kind = kindInteger
	return k
}

// printed returns a value as it would stand in a file, without quotes, or
// the empty string for a value that is not set.
func printed(v any) string {
	switch v := v.(type) {
	case time.Duration:
		return strconv.FormatInt(v.Milliseconds(), 10)
	case netip.Addr:
		if !v.IsValid() {
			return ""
		}
	}
	return fmt.Sprint(v)
}

// sections returns the known sections, in order of the keys.
func sections() []string {
	var list []string
	for _, k := range keys {
		section, _, found := strings.Cut(k.path, ".")
		if found && (len(list) == 0 || list[len(list)-1] != section) {
			list = append(list, section)
		}
	}
	return list
}
