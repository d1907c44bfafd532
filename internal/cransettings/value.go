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
	nameBound    = "1 to 63 letters, digits and hyphens, beginning with a letter"
	addressBound = "IP:port; port 0 lets the system choose"
	peersBound   = "IP:port of another entry instance each; at most 64"
	prefixBound  = "an IP prefix each, such as 10.0.0.0/8; at most 64"

	// maxList bounds the elements of an array.
	maxList = 64
)

var nameForm = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9-]{0,62}$`)

// reason says why a value was refused, and what to do about it.
type reason struct {
	message, remedy string
}

// parser turns the value of a key into a typed one.
type parser[T any] func(item) (T, *reason)

func refuse(remedy, format string, args ...any) *reason {
	return &reason{message: fmt.Sprintf(format, args...), remedy: remedy}
}

func wrongType(it item, want string) *reason {
	return refuse("give "+want, "the value is %s, not %s", kindName(it.kind), want)
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

func parseText(it item) (string, *reason) {
	if it.kind != unstable.String {
		return "", wrongType(it, "a string")
	}
	return it.text, nil
}

func parseNumber(low, high int) parser[int] {
	return func(it item) (int, *reason) {
		if it.kind != unstable.Integer {
			return 0, wrongType(it, "an integer")
		}
		n, err := strconv.ParseInt(it.text, 0, 64)
		if err != nil || n < int64(low) || n > int64(high) {
			return 0, refuse(fmt.Sprintf("give %d to %d", low, high), "%s is out of range", it.text)
		}
		return int(n), nil
	}
}

func parseName(it item) (string, *reason) {
	text, wrong := parseText(it)
	if wrong != nil {
		return "", wrong
	}
	if !nameForm.MatchString(text) {
		return "", refuse("give "+nameBound, "%q is not a name", text)
	}
	return text, nil
}

func parseAddress(it item) (netip.AddrPort, *reason) {
	text, wrong := parseText(it)
	if wrong != nil {
		return netip.AddrPort{}, wrong
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, refuse("give an IP number and a port, such as 10.0.0.7:8080; host names are not used", "%q is not IP:port", text)
	}
	if a.Addr().IsMulticast() {
		return netip.AddrPort{}, refuse("give the IP number of an interface", "%s is a multicast address", a.Addr())
	}
	return a, nil
}

func parseIP(it item) (netip.Addr, *reason) {
	text, wrong := parseText(it)
	if wrong != nil {
		return netip.Addr{}, wrong
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Addr{}, refuse("give an IP number, such as 10.0.0.7; host names are not used", "%q is not an IP number", text)
	}
	if a.IsUnspecified() || a.IsMulticast() {
		return netip.Addr{}, refuse("give the IP number of an interface", "peers can't connect to %s", a)
	}
	return a, nil
}

// parsePeer takes the address of another entry instance.
func parsePeer(it item) (netip.AddrPort, *reason) {
	a, wrong := parseAddress(it)
	if wrong != nil {
		return netip.AddrPort{}, wrong
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		return netip.AddrPort{}, refuse("give the IP number and the port that the peer listens on", "nobody can connect to %s", a)
	}
	return a, nil
}

func parsePrefix(it item) (netip.Prefix, *reason) {
	text, wrong := parseText(it)
	if wrong != nil {
		return netip.Prefix{}, wrong
	}
	p, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Prefix{}, refuse("give an IP number and a length, such as 10.0.0.0/8 or 10.0.0.7/32", "%q is not an IP prefix", text)
	}
	if p != p.Masked() {
		return netip.Prefix{}, refuse("give "+p.Masked().String(), "%s has bits behind its length", p)
	}
	return p, nil
}

// listOf takes an array whose elements one takes.
func listOf[T any](one parser[T]) parser[[]T] {
	return func(it item) ([]T, *reason) {
		if it.kind != unstable.Array {
			return nil, wrongType(it, "an array")
		}
		if len(it.elements) > maxList {
			return nil, refuse(fmt.Sprintf("give at most %d", maxList), "there are %d elements", len(it.elements))
		}
		list := make([]T, 0, len(it.elements))
		for i, element := range it.elements {
			v, wrong := one(element)
			if wrong != nil {
				return nil, refuse(wrong.remedy, "element %d: %s", i+1, wrong.message)
			}
			list = append(list, v)
		}
		return list, nil
	}
}

func parsePlatform(it item) (string, *reason) {
	const remedy = "give http://IP:port, such as http://10.0.0.7:9000; host names are not used"
	text, wrong := parseText(it)
	if wrong != nil {
		return "", wrong
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.Trim(u.Path, "/") != "" {
		return "", refuse(remedy, "%q is not an http URL without a path", text)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return "", refuse(remedy, "%q is not an IP number", u.Hostname())
	}
	if wrong := checkPort(u.Port(), remedy); wrong != nil {
		return "", wrong
	}
	return "http://" + u.Host, nil
}

func checkPort(port, remedy string) *reason {
	if port == "" {
		return nil
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 1 || n > maxPort {
		return refuse(remedy, "%s is not a port", port)
	}
	return nil
}

func oneOf[T ~string](allowed ...T) parser[T] {
	words := make([]string, 0, len(allowed))
	for _, a := range allowed {
		words = append(words, string(a))
	}
	return func(it item) (T, *reason) {
		text, wrong := parseText(it)
		if wrong != nil {
			return "", wrong
		}
		if !slices.Contains(words, text) {
			return "", refuse("give one of "+strings.Join(words, ", "), "%q is not known", text)
		}
		return T(text), nil
	}
}
