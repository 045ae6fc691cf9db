package flowsettings

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/settings/document"
)

// Key describes one key of the settings file.
type Key = document.Key[Settings]

// Defaults of durations.
const (
	// defaultApplyWithin is the platform's usual limit for applying a change.
	defaultApplyWithin = 3 * time.Second
	minApplyWithin     = 500 * time.Millisecond
	maxApplyWithin     = time.Minute
	// defaultOverage and defaultSlack are the platform's usual limits of cold targets.
	defaultOverage = 1.5
	defaultSlack   = 5
	// defaultStoreTimeout is about a fifth of defaultApplyWithin, and well above the
	// response time of a slow store.
	defaultStoreTimeout = 700 * time.Millisecond
	// defaultStopGrace is the platform's usual time between the stop signal and the end
	// of the process.
	defaultStopGrace = 6 * time.Second
)

// Keys returns all keys in the order of docs/flow-settings.md.
func Keys() []Key { return keys }

var keys = []Key{
	{Path: "vm.name", Type: document.TypeString, Range: textRange,
		Meaning: "Name of this VM, unique in the fleet.",
		Set:     textSetter(func(s *Settings) *string { return &s.VM.Name })},
	{Path: "vm.domain", Type: document.TypeString, Range: textRange,
		Meaning: "Failure domain of this VM, as the entries of targets spell it.",
		Set:     textSetter(func(s *Settings) *string { return &s.VM.Domain })},
	{Path: "vm.regions", Type: "list of strings", Range: "each domain=region", Optional: true,
		Meaning: "Region of each failure domain. A route that is limited to regions uses no target of a domain that is missing here.",
		Set:     setRegions},
	{Path: "listen.packets", Type: document.TypeAddress, Range: document.AddressRange,
		Meaning: "UDP address for packets of callers. Resets go to the same port at the caller.",
		Set:     document.AddressSetter(func(s *Settings) *netip.AddrPort { return &s.Listen.Packets })},
	{Path: "listen.readiness", Type: document.TypeAddress, Range: document.AddressRange,
		Meaning: "TCP address for the routers' question whether the VM shall get packets (HTTP).",
		Set:     document.AddressSetter(func(s *Settings) *netip.AddrPort { return &s.Listen.Readiness })},
	{Path: "listen.beats", Type: document.TypeAddress, Range: document.AdvertisedRange,
		Meaning: "UDP address for beats of other VMs, as they reach it.",
		Set:     document.AdvertisedSetter(func(s *Settings) *netip.AddrPort { return &s.Listen.Heartbeats })},
	{Path: "listen.control", Type: document.TypeAddress, Range: document.AdvertisedRange,
		Meaning: "TCP address for pulls of other VMs, as they reach it, for metrics and for operators' questions (HTTP). It has no authentication; use an address that only VMs and operators reach.",
		Set:     document.AdvertisedSetter(func(s *Settings) *netip.AddrPort { return &s.Listen.Control })},
	{Path: "listen.metrics", Type: document.TypeAddress, Range: document.AddressRange, Optional: true,
		Meaning: "A further TCP address that serves what `listen.control` serves, for collectors that expect a certain port.",
		Set:     document.AddressSetter(func(s *Settings) *netip.AddrPort { return &s.Listen.Metrics })},
	{Path: "readiness.path", Type: document.TypeString, Default: "/readyz", Range: "path that starts with /",
		Meaning: "Path of the routers' question.",
		Set:     setPath},
	{Path: "store.address", Type: document.TypeAddress, Range: document.AddressRange,
		Meaning: "Address of the platform's store.",
		Set:     document.AddressSetter(func(s *Settings) *netip.AddrPort { return &s.Store.Address })},
	durationKey("store.timeout", defaultStoreTimeout, 50*time.Millisecond, 10*time.Second,
		"Time-out of one call to the store, beside the time for which a watch is held, and that of an answer which makes progress.",
		func(s *Settings) *time.Duration { return &s.Store.Timeout }),
	durationKey("catalog.apply_within", defaultApplyWithin, minApplyWithin, maxApplyWithin,
		"Time from the acknowledgement of a change in the store until it is in force at every VM. A VM reads the store itself when what it knows is older than 70% of it; watches are held for 45% of it.",
		func(s *Settings) *time.Duration { return &s.Catalog.ApplyWithin }),
	{Path: "catalog.evacuate_within", Type: document.TypeDuration, Range: document.DurationRange(minApplyWithin, maxApplyWithin), Optional: true,
		Meaning: "Time from the acknowledgement of an evacuation request in the store until its failure domain gets no new flows. Without it `catalog.apply_within` holds; otherwise the smaller of the two decides when a VM reads the store itself.",
		Set:     document.DurationSetter(minApplyWithin, maxApplyWithin, func(s *Settings) *time.Duration { return &s.Catalog.EvacuateWithin })},
	{Path: "catalog.seeds", Type: "list of addresses", Range: "each " + document.AddressRange, Optional: true,
		Meaning: "`listen.control` of some other VMs, which may be down. A VM that starts while the store does not answer gets its first catalog from one of them.",
		Set:     setSeeds},
	{Path: "cold.overage", Type: typeNumber, Default: strconv.FormatFloat(defaultOverage, 'f', -1, 64), Range: "1 to 100", Optional: true,
		Meaning: "Factor by which a cold target may get more new flows a second than the configuration of its service states that it bears.",
		Set:     setOverage},
	{Path: "cold.slack", Type: typeNumber, Default: strconv.Itoa(defaultSlack), Range: "0 to 10000, whole", Optional: true,
		Meaning: "New flows that a cold target may get beyond that in any second.",
		Set:     setSlack},
	{Path: "balance.target_reports", Type: typeBoolean, Default: "true", Range: "true or false", Optional: true,
		Meaning: "Whether the VMs of a failure domain tell each other the load and speed of its targets, and choose targets by speed. Without it each VM goes by its own flows alone.",
		Set:     setTargetReports},
	{Path: "log.format", Type: document.TypeString, Default: "json", Range: "one of json, text",
		Meaning: "Form of log lines, on the standard output.",
		Set:     setLogFormat},
	{Path: "log.level", Type: document.TypeString, Default: "info", Range: "one of " + strings.Join(events.Levels(), ", "),
		Meaning: "Lowest level that is written. A change takes effect without a restart.",
		Set:     setLogLevel},
	durationKey("timings.stop_grace", defaultStopGrace, time.Second, 10*time.Minute,
		"Time from the stop signal to the end of the process at the latest.",
		func(s *Settings) *time.Duration { return &s.Timings.StopGrace }),
}

// durationKey returns a key for a duration from low to high with the default def.
func durationKey(path string, def, low, high time.Duration, meaning string, field func(s *Settings) *time.Duration) Key {
	return Key{
		Path:    path,
		Type:    document.TypeDuration,
		Default: document.FormatDuration(def),
		Range:   document.DurationRange(low, high),
		Meaning: meaning,
		Set:     document.DurationSetter(low, high, field),
	}
}

const textRange = "1 to 128 characters"

// textSetter returns a Key.Set for a name that the platform assigns. It accepts any
// characters, unlike document.NameSetter.
func textSetter(field func(s *Settings) *string) func(*Settings, any) bool {
	const maxLength = 128
	return func(s *Settings, raw any) bool {
		value, ok := raw.(string)
		*field(s) = value
		return ok && value != "" && len(value) <= maxLength
	}
}

func setPath(s *Settings, raw any) bool {
	value, ok := raw.(string)
	s.Readiness.Path = value
	return ok && strings.HasPrefix(value, "/") && !strings.ContainsAny(value, " {}?#")
}

func setLogFormat(s *Settings, raw any) bool {
	value, _ := raw.(string)
	format, err := events.ParseFormat(value)
	s.Log.Format = format
	return err == nil
}

func setLogLevel(s *Settings, raw any) bool {
	value, _ := raw.(string)
	level, err := events.ParseLevel(value)
	s.Log.Level = level
	return err == nil
}

// Types of keys that are not strings.
const (
	typeNumber  = "number"
	typeBoolean = "boolean"
)

// numberOf returns a TOML integer or float.
func numberOf(raw any) (value float64, ok bool) {
	switch n := raw.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, true
	default:
		return 0, false
	}
}

func setOverage(s *Settings, raw any) bool {
	value, ok := numberOf(raw)
	s.Cold.Overage = value
	return ok && value >= 1 && value <= 100
}

func setSlack(s *Settings, raw any) bool {
	value, ok := numberOf(raw)
	s.Cold.Slack = int(value)
	return ok && value >= 0 && value <= 10_000 && value == float64(s.Cold.Slack)
}

func setTargetReports(s *Settings, raw any) bool {
	value, ok := raw.(bool)
	s.Balance.TargetReports = value
	return ok
}

func setRegions(s *Settings, raw any) bool {
	list, ok := raw.([]any)
	if !ok {
		return false
	}
	s.VM.Regions = make(map[string]string, len(list))
	for _, item := range list {
		text, _ := item.(string)
		domain, region, ok := strings.Cut(text, "=")
		if !ok || domain == "" || region == "" {
			return false
		}
		s.VM.Regions[domain] = region
	}
	return true
}

func setSeeds(s *Settings, raw any) bool {
	list, ok := raw.([]any)
	if !ok {
		return false
	}
	for _, item := range list {
		addr, ok := document.ParseAddress(item)
		if !ok {
			return false
		}
		s.Catalog.Seeds = append(s.Catalog.Seeds, addr)
	}
	return true
}
