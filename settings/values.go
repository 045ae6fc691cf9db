package settings

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/settings/document"
)

const ipRange = "an address of this machine, not 0.0.0.0 or [::]"

func setOutgoingAddress(s *Settings, raw any) bool {
	text, ok := raw.(string)
	addr, err := netip.ParseAddr(text)
	s.Outgoing.Address = addr.Unmap()
	return ok && err == nil && addr.Zone() == "" && !s.Outgoing.Address.IsUnspecified()
}

func setEndpoints(s *Settings, raw any) bool {
	list, ok := raw.([]any)
	if !ok || len(list) == 0 {
		return false
	}
	for _, item := range list {
		text, ok := item.(string)
		if !ok || !document.IsURL(text) {
			return false
		}
		s.Store.Endpoints = append(s.Store.Endpoints, text)
	}
	return true
}

func setVMListURL(s *Settings, raw any) bool {
	text, ok := raw.(string)
	s.VMList.URL = text
	return ok && (text == "" || document.IsURL(text))
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
