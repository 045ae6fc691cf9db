package document

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// The types of keys, as faults and the reference show them.
const (
	TypeString   = "string"
	TypeAddress  = "address"
	TypeIP       = "IP address"
	TypeDuration = "duration"
	TypeURL      = "URL"
	TypeURLs     = "list of URLs"
	TypePath     = "path"
)

// The ranges of keys, as faults and the reference show them.
const (
	NameRange       = "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
	AddressRange    = "ip:port with a port of 1 to 65535"
	AdvertisedRange = AddressRange + ", not 0.0.0.0 or [::]"
	URLRange        = "http or https URL with a host"
	PathRange       = "path of a file, not empty"
)

// namePattern matches the names of VMs and failure domains.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// IsName reports whether text is a valid name of a VM or failure domain.
func IsName(text string) bool { return namePattern.MatchString(text) }

// NameSetter returns a Key.Set for a name of a VM or failure domain.
func NameSetter[S any](field func(s *S) *string) func(*S, any) bool {
	return func(s *S, raw any) bool {
		text, ok := raw.(string)
		*field(s) = text
		return ok && IsName(text)
	}
}

// PathSetter returns a Key.Set for a path that is not empty.
func PathSetter[S any](field func(s *S) *string) func(*S, any) bool {
	return func(s *S, raw any) bool {
		text, ok := raw.(string)
		*field(s) = text
		return ok && text != ""
	}
}

// AddressSetter returns a Key.Set for an IP address with a port.
func AddressSetter[S any](field func(s *S) *netip.AddrPort) func(*S, any) bool {
	return func(s *S, raw any) bool {
		addr, ok := ParseAddress(raw)
		*field(s) = addr
		return ok
	}
}

// AdvertisedSetter returns a Key.Set for an address that others can reach: not 0.0.0.0
// or [::].
func AdvertisedSetter[S any](field func(s *S) *netip.AddrPort) func(*S, any) bool {
	return func(s *S, raw any) bool {
		addr, ok := ParseAddress(raw)
		*field(s) = addr
		return ok && !addr.Addr().IsUnspecified()
	}
}

// ParseAddress parses a raw TOML value as "ip:port" with a port above 0.
func ParseAddress(raw any) (netip.AddrPort, bool) {
	text, ok := raw.(string)
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), true
}

// DurationSetter returns a Key.Set for a duration from low to high.
func DurationSetter[S any](low, high time.Duration, field func(s *S) *time.Duration) func(*S, any) bool {
	return func(s *S, raw any) bool {
		text, ok := raw.(string)
		if !ok {
			return false
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > high {
			return false
		}
		*field(s) = d
		return true
	}
}

// DurationRange returns the range of a duration for Key.Range.
func DurationRange(low, high time.Duration) string {
	return fmt.Sprintf("%s to %s", FormatDuration(low), FormatDuration(high))
}

// FormatDuration returns d without trailing zero units: "5m", not "5m0s".
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// IsURL reports whether text is an http or https URL with a host.
func IsURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// Overlap reports whether a socket that listens on a conflicts with one that listens on b.
func Overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
