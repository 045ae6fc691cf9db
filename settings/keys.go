package settings

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/settings/document"
)

// Key describes one key of the settings file.
type Key = document.Key[Settings]

// seedKeys are the keys of each [[seeds]] table; checkSeeds sets them.
var seedKeys = []Key{
	{Path: "seeds[].name", Type: document.TypeString, Range: document.NameRange, Meaning: "Name of a VM that is known without the VM list."},
	{Path: "seeds[].control", Type: document.TypeAddress, Range: document.AdvertisedRange, Meaning: "Control address of that VM."},
}

// keys are the keys of all other tables.
var keys = []Key{
	{Path: "vm.name", Type: document.TypeString, Range: document.NameRange,
		Meaning: "Name of this VM, unique in the fleet.",
		Set:     document.NameSetter(func(s *Settings) *string { return &s.VM.Name })},
	{Path: "vm.domain", Type: document.TypeString, Range: document.NameRange,
		Meaning: "Failure domain of this VM.",
		Set:     document.NameSetter(func(s *Settings) *string { return &s.VM.Domain })},
	{Path: "listen.callers", Type: document.TypeAddress, Range: document.AddressRange,
		Meaning: "UDP address for datagrams of callers.",
		Set:     document.AddressSetter(func(s *Settings) *netip.AddrPort { return &s.Listen.Callers })},
	{Path: "listen.data", Type: document.TypeAddress, Range: document.AddressRange,
		Meaning: "UDP address for datagrams of VMs and targets.",
		Set:     document.AddressSetter(func(s *Settings) *netip.AddrPort { return &s.Listen.Data })},
	{Path: "listen.control", Type: document.TypeAddress, Range: document.AddressRange,
		Meaning: "TCP address for control links of VMs.",
		Set:     document.AddressSetter(func(s *Settings) *netip.AddrPort { return &s.Listen.Control })},
	{Path: "listen.admin", Type: document.TypeAddress, Range: document.AddressRange,
		Meaning: "TCP address for metrics and operators' questions (HTTP; HTTPS with client certificates when `tls.ca` is set). Without `tls.ca` it has no authentication; use an address that only operators reach.",
		Set:     document.AddressSetter(func(s *Settings) *netip.AddrPort { return &s.Listen.Admin })},
	{Path: "advertise.data", Type: document.TypeAddress, Range: document.AdvertisedRange, Optional: true,
		Meaning: "Address under which other VMs and targets reach `listen.data`; the same address when absent. Required when `listen.data` is 0.0.0.0 or [::].",
		Set:     document.AdvertisedSetter(func(s *Settings) *netip.AddrPort { return &s.Advertise.Data })},
	{Path: "advertise.control", Type: document.TypeAddress, Range: document.AdvertisedRange, Optional: true,
		Meaning: "Address under which other VMs reach `listen.control`; the same address when absent. Required when `listen.control` is 0.0.0.0 or [::].",
		Set:     document.AdvertisedSetter(func(s *Settings) *netip.AddrPort { return &s.Advertise.Control })},
	{Path: "outgoing.address", Type: document.TypeIP, Range: ipRange, Optional: true,
		Meaning: "Local address of the TCP connections that the VM opens: control links, health checks, VM list and store. The system chooses when absent. Datagrams leave from `listen.data` and `listen.callers`.",
		Set:     setOutgoingAddress},
	{Path: "store.endpoints", Type: document.TypeURLs, Range: "at least one " + document.URLRange,
		Meaning: "Endpoints of the platform's store.",
		Set:     setEndpoints},
	{Path: "store.ca", Type: document.TypePath, Range: document.PathRange, Optional: true,
		Meaning: "CA certificates of https endpoints, in PEM. When absent the three files of `[tls]` are used for https endpoints, or the system's CAs without `[tls]`.",
		Set:     document.PathSetter(func(s *Settings) *string { return &s.Store.TLS.CA })},
	{Path: "store.cert", Type: document.TypePath, Range: document.PathRange, Optional: true,
		Meaning: "Certificate that the VM presents to the store, in PEM, issued by `store.ca`. Needs `store.ca` and `store.key`.",
		Set:     document.PathSetter(func(s *Settings) *string { return &s.Store.TLS.Cert })},
	{Path: "store.key", Type: document.TypePath, Range: document.PathRange, Optional: true,
		Meaning: "Key of `store.cert`, in PEM. Needs `store.ca` and `store.cert`.",
		Set:     document.PathSetter(func(s *Settings) *string { return &s.Store.TLS.Key })},
	{Path: "vm_list.url", Type: document.TypeURL, Range: document.URLRange + ", or empty", Optional: true,
		Meaning: "The platform's VM list. Without it the VM knows only its seeds and what other VMs tell it.",
		Set:     setVMListURL},
	{Path: "tls.ca", Type: document.TypePath, Range: document.PathRange, Optional: true,
		Meaning: "CA certificates that issue the certificates of VMs and operators, in PEM. Required when `tls.cert` or `tls.key` is set. Without it control links and the admin address are not authenticated.",
		Set:     document.PathSetter(func(s *Settings) *string { return &s.TLS.CA })},
	{Path: "tls.cert", Type: document.TypePath, Range: document.PathRange, Optional: true,
		Meaning: "Certificate of this VM, in PEM, with the URI name `gypsumspan://<vm.domain>/<vm.name>`; intermediate certificates follow it. Required when `tls.ca` is set.",
		Set:     document.PathSetter(func(s *Settings) *string { return &s.TLS.Cert })},
	{Path: "tls.key", Type: document.TypePath, Range: document.PathRange, Optional: true,
		Meaning: "Key of `tls.cert`, in PEM. Required when `tls.ca` is set. The three files are read again every 10 s.",
		Set:     document.PathSetter(func(s *Settings) *string { return &s.TLS.Key })},
	{Path: "datagrams.keys", Type: document.TypePath, Range: document.PathRange, Optional: true,
		Meaning: "Keys of the datagrams between VMs: lines `ID KEY` with an id of 1 to 255 and 64 hexadecimal digits. The first key signs, all verify. The same on all VMs; read again every 10 s. Without it these datagrams are not authenticated.",
		Set:     document.PathSetter(func(s *Settings) *string { return &s.Datagrams.Keys })},
	{Path: "log.format", Type: document.TypeString, Default: "json", Range: "one of json, text",
		Meaning: "Form of log lines, on the standard error.",
		Set:     setLogFormat},
	{Path: "log.level", Type: document.TypeString, Default: "info", Range: levelRange(),
		Meaning: "Lowest level that is written.",
		Set:     setLogLevel},
	timingKey("timings.stop_grace", 30*time.Second, 0, 10*time.Minute,
		"Longest planned leave. It should exceed the longest deadline of a request.",
		func(t *Timings) *time.Duration { return &t.StopGrace }),
	timingKey("timings.vm_list_interval", 2*time.Second, 100*time.Millisecond, time.Minute,
		"Mean time between two polls of the VM list, with jitter.",
		func(t *Timings) *time.Duration { return &t.VMListInterval }),
	timingKey("timings.vm_list_timeout", time.Second, 10*time.Millisecond, 30*time.Second,
		"Time-out of one poll of the VM list.",
		func(t *Timings) *time.Duration { return &t.VMListTimeout }),
	timingKey("timings.health_interval", time.Second, 50*time.Millisecond, time.Minute,
		"Mean time between two polls of a target's health endpoint, with jitter.",
		func(t *Timings) *time.Duration { return &t.HealthInterval }),
	timingKey("timings.health_timeout", 500*time.Millisecond, 10*time.Millisecond, 10*time.Second,
		"Time-out of one poll of a target's health endpoint.",
		func(t *Timings) *time.Duration { return &t.HealthTimeout }),
	timingKey("timings.peer_dial_timeout", 500*time.Millisecond, 10*time.Millisecond, 5*time.Second,
		"Time-out for opening a control link; with `tls.ca` the handshake has the same time again.",
		func(t *Timings) *time.Duration { return &t.PeerDialTimeout }),
	timingKey("timings.peer_write_timeout", 500*time.Millisecond, 10*time.Millisecond, 5*time.Second,
		"Time-out for writing one message on a control link.",
		func(t *Timings) *time.Duration { return &t.PeerWriteTimeout }),
	timingKey("timings.peer_idle", time.Minute, time.Second, time.Hour,
		"An unused control link is closed after this time. It must be the same on all VMs.",
		func(t *Timings) *time.Duration { return &t.PeerIdleTimeout }),
	timingKey("timings.admin_wait", time.Second, 10*time.Millisecond, 30*time.Second,
		"Longest wait for the answer to a question on the admin address.",
		func(t *Timings) *time.Duration { return &t.AdminQueryTimeout }),
}

// timingKey returns a key for a duration from low to high with the default def.
func timingKey(path string, def, low, high time.Duration, meaning string, field func(t *Timings) *time.Duration) Key {
	return Key{
		Path:    path,
		Type:    document.TypeDuration,
		Default: document.FormatDuration(def),
		Range:   document.DurationRange(low, high),
		Meaning: meaning,
		Set:     document.DurationSetter(low, high, func(s *Settings) *time.Duration { return field(&s.Timings) }),
	}
}

// Keys returns all keys in the order of docs/settings.md.
func Keys() []Key {
	list := make([]Key, 0, len(keys)+len(seedKeys))
	for _, k := range keys {
		list = append(list, k)
		if k.Path == "vm_list.url" {
			list = append(list, seedKeys...)
		}
	}
	return list
}
