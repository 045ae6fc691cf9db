package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/events"
)

// nameForm is the form of names of VMs and failure domains.
var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameRange = "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

const addressRange = "ip:port with a port of 1 to 65535"

const advertisedRange = addressRange + ", not 0.0.0.0 or [::]"

const ipRange = "an address of this machine, not 0.0.0.0 or [::]"

const urlRange = "http or https URL with a host"

const pathRange = "path of a file, not empty"

// setter stores a raw TOML value in the settings and reports whether the value
// is in the key's range.
type setter func(s *Settings, raw any) bool

func nameValue(field func(s *Settings) *string) setter {
	return func(s *Settings, raw any) bool {
		text, ok := raw.(string)
		*field(s) = text
		return ok && nameForm.MatchString(text)
	}
}

func pathValue(field func(s *Settings) *string) setter {
	return func(s *Settings, raw any) bool {
		text, ok := raw.(string)
		*field(s) = text
		return ok && text != ""
	}
}

func addressValue(field func(s *Settings) *netip.AddrPort) setter {
	return func(s *Settings, raw any) bool {
		addr, ok := parseAddress(raw)
		*field(s) = addr
		return ok
	}
}

func advertisedValue(field func(s *Settings) *netip.AddrPort) setter {
	return func(s *Settings, raw any) bool {
		addr, ok := parseAddress(raw)
		*field(s) = addr
		return ok && !addr.Addr().IsUnspecified()
	}
}

func parseAddress(raw any) (netip.AddrPort, bool) {
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

func setOutgoingAddress(s *Settings, raw any) bool {
	text, ok := raw.(string)
	addr, err := netip.ParseAddr(text)
	s.Outgoing.Address = addr.Unmap()
	return ok && err == nil && addr.Zone() == "" && !s.Outgoing.Address.IsUnspecified()
}

func durationValue(low, high time.Duration, field func(t *Timings) *time.Duration) setter {
	return func(s *Settings, raw any) bool {
		text, ok := raw.(string)
		if !ok {
			return false
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > high {
			return false
		}
		*field(&s.Timings) = d
		return true
	}
}

func durationRange(low, high time.Duration) string {
	return fmt.Sprintf("%s to %s", short(low), short(high))
}

// short returns d without trailing zero units: "5m", not "5m0s".
func short(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func setEndpoints(s *Settings, raw any) bool {
	list, ok := raw.([]any)
	if !ok || len(list) == 0 {
		return false
	}
	for _, item := range list {
		text, ok := item.(string)
		if !ok || !isURL(text) {
			return false
		}
		s.Store.Endpoints = append(s.Store.Endpoints, text)
	}
	return true
}

func setVMListURL(s *Settings, raw any) bool {
	text, ok := raw.(string)
	s.VMList.URL = text
	return ok && (text == "" || isURL(text))
}

func setLogFormat(s *Settings, raw any) bool {
	text, _ := raw.(string)
	format, err := events.ParseFormat(text)
	s.Log.Format = format
	return err == nil
}

func setLogLevel(s *Settings, raw any) bool {
	text, _ := raw.(string)
	level, err := events.ParseLevel(text)
	s.Log.Level = level
	return err == nil
}

func levelRange() string {
	return "one of " + strings.Join(slices.Clone(events.Levels()), ", ")
}
