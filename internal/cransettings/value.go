package cransettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// TOML types of the keys.
const (
	kindInteger = "integer"
	kindString  = "string"
	kindStrings = "array of strings"
)

const (
	allowedName     = "1 to 63 letters, digits and hyphens, beginning with a letter"
	allowedAddress  = "IP:port; port 0 lets the system choose"
	allowedPeers    = "IP:port of another entry instance each; at most 64"
	allowedPrefixes = "an IP prefix each, such as 10.0.0.0/8; at most 64"

	// maxListElements bounds the number of elements of an array.
	maxListElements = 64
)

var namePattern = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9-]{0,62}$`)

// refusal describes why a value is invalid, and the remedy.
type refusal struct {
	message, remedy string
}

// valueParser converts the value of a key to its Go type, or refuses it.
type valueParser[T any] func(item) (T, *refusal)

func newRefusal(remedy, format string, args ...any) *refusal {
	return &refusal{message: fmt.Sprintf(format, args...), remedy: remedy}
}

func wrongType(it item, want string) *refusal {
	return newRefusal("give "+want, "the value is %s, not %s", kindName(it.kind), want)
}

func kindName(k unstable.Kind) string {
	switch k {
	case unstable.String:
		return "a string"
	case unstable.Integer:
		return "an integer"
	case unstable.Float:
		return "a float"
	case unstable.Bool:
		return "a boolean"
	case unstable.Array:
		return "an array"
	case unstable.Table, unstable.ArrayTable, unstable.InlineTable:
		return "a section"
	}
	return "a date or time"
}

func parseString(it item) (string, *refusal) {
	if it.kind != unstable.String {
		return "", wrongType(it, "a string")
	}
	return it.text, nil
}

func parseInteger(low, high int) valueParser[int] {
	return func(it item) (int, *refusal) {
		if it.kind != unstable.Integer {
			return 0, wrongType(it, "an integer")
		}
		n, err := strconv.ParseInt(it.text, 0, 64)
		if err != nil || n < int64(low) || n > int64(high) {
			return 0, newRefusal(fmt.Sprintf("give %d to %d", low, high), "%s is out of range", it.text)
		}
		return int(n), nil
	}
}

func parseName(it item) (string, *refusal) {
	text, refused := parseString(it)
	if refused != nil {
		return "", refused
	}
	if !namePattern.MatchString(text) {
		return "", newRefusal("give "+allowedName, "%q is not a valid name", text)
	}
	return text, nil
}

func parseAddress(it item) (netip.AddrPort, *refusal) {
	text, refused := parseString(it)
	if refused != nil {
		return netip.AddrPort{}, refused
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, newRefusal("give an IP address and a port, such as 10.0.0.7:8080; host names are not supported", "%q is not IP:port", text)
	}
	if a.Addr().IsMulticast() {
		return netip.AddrPort{}, newRefusal("give the IP address of an interface", "%s is a multicast address", a.Addr())
	}
	return a, nil
}

func parseIP(it item) (netip.Addr, *refusal) {
	text, refused := parseString(it)
	if refused != nil {
		return netip.Addr{}, refused
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}, newRefusal("give an IP address, such as 10.0.0.7; host names are not supported", "%q is not an IP address", text)
	}
	if a.IsUnspecified() || a.IsMulticast() {
		return netip.Addr{}, newRefusal("give the IP address of an interface", "peers can't connect to %s", a)
	}
	return a, nil
}

// parsePeer parses the address of another entry instance. Its IP address and
// port must be specific, since this process connects to it.
func parsePeer(it item) (netip.AddrPort, *refusal) {
	a, refused := parseAddress(it)
	if refused != nil {
		return netip.AddrPort{}, refused
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return netip.AddrPort{}, newRefusal("give the IP address and the port that the peer listens on", "can't connect to %s", a)
	}
	return a, nil
}

func parsePrefix(it item) (netip.Prefix, *refusal) {
	text, refused := parseString(it)
	if refused != nil {
		return netip.Prefix{}, refused
	}
	p, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Prefix{}, newRefusal("give an IP address and a length, such as 10.0.0.0/8 or 10.0.0.7/32", "%q is not an IP prefix", text)
	}
	if p != p.Masked() {
		return netip.Prefix{}, newRefusal("give "+p.Masked().String(), "%s has bits set beyond its prefix length", p)
	}
	return p, nil
}

// parseList returns the parser of an array whose elements parse accepts.
func parseList[T any](parse valueParser[T]) valueParser[[]T] {
	return func(it item) ([]T, *refusal) {
		if it.kind != unstable.Array {
			return nil, wrongType(it, "an array")
		}
		if len(it.elements) > maxListElements {
			return nil, newRefusal(fmt.Sprintf("give at most %d", maxListElements), "there are %d elements", len(it.elements))
		}
		list := make([]T, 0, len(it.elements))
		for i, element := range it.elements {
			v, refused := parse(element)
			if refused != nil {
				return nil, newRefusal(refused.remedy, "element %d: %s", i+1, refused.message)
			}
			list = append(list, v)
		}
		return list, nil
	}
}

func parsePlatform(it item) (string, *refusal) {
	const remedy = "give http://IP:port, such as http://10.0.0.7:9000; host names are not supported"
	text, refused := parseString(it)
	if refused != nil {
		return "", refused
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.Trim(u.Path, "/") != "" {
		return "", newRefusal(remedy, "%q is not an http URL without a path", text)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return "", newRefusal(remedy, "%q is not an IP address", u.Hostname())
	}
	if refused := checkPort(u.Port(), remedy); refused != nil {
		return "", refused
	}
	return "http://" + u.Host, nil
}

func checkPort(port, remedy string) *refusal {
	if port == "" {
		return nil
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 1 || n > maxPort {
		return newRefusal(remedy, "%s is not a port", port)
	}
	return nil
}

func parseEnum[T ~string](allowed ...T) valueParser[T] {
	words := make([]string, 0, len(allowed))
	for _, a := range allowed {
		words = append(words, string(a))
	}
	return func(it item) (T, *refusal) {
		text, refused := parseString(it)
		if refused != nil {
			return "", refused
		}
		if !slices.Contains(words, text) {
			return "", newRefusal("give one of "+strings.Join(words, ", "), "unknown value %q", text)
		}
		return T(text), nil
	}
}
