package settings

import (
	"net/netip"
	"time"
)

// Key describes one key of the settings file.
type Key struct {
	Path    string // such as "listen.data"
	Type    string
	Default string // empty: the key is required, unless Optional
	Range   string
	Meaning string
	// Optional keys may be absent and have no default.
	Optional bool
	set      setter
}

// The types of keys as the reference names them.
const (
	typeString   = "string"
	typeAddress  = "address"
	typeIP       = "IP address"
	typeDuration = "duration"
	typeURL      = "URL"
	typeURLs     = "list of URLs"
	typePath     = "path"
)

// seedKeys are the keys of each [[seeds]] table.
var seedKeys = []Key{
	{Path: "seeds[].name", Type: typeString, Range: nameRange, Meaning: "Name of a VM that is known without the VM list."},
	{Path: "seeds[].control", Type: typeAddress, Range: advertisedRange, Meaning: "Control address of that VM."},
}

// keys are the keys of all other tables.
var keys = []Key{
	{Path: "vm.name", Type: typeString, Range: nameRange,
		Meaning: "Name of this VM, unique in the fleet.",
		set:     nameValue(func(s *Settings) *string { return &s.VM.Name })},
	{Path: "vm.domain", Type: typeString, Range: nameRange,
		Meaning: "Failure domain of this VM.",
		set:     nameValue(func(s *Settings) *string { return &s.VM.Domain })},
	{Path: "listen.callers", Type: typeAddress, Range: addressRange,
		Meaning: "UDP address for datagrams of callers.",
		set:     addressValue(func(s *Settings) *netip.AddrPort { return &s.Listen.Callers })},
	{Path: "listen.data", Type: typeAddress, Range: addressRange,
		Meaning: "UDP address for datagrams of VMs and targets.",
		set:     addressValue(func(s *Settings) *netip.AddrPort { return &s.Listen.Data })},
	{Path: "listen.control", Type: typeAddress, Range: addressRange,
		Meaning: "TCP address for control links of VMs.",
		set:     addressValue(func(s *Settings) *netip.AddrPort { return &s.Listen.Control })},
	{Path: "listen.admin", Type: typeAddress, Range: addressRange,
		Meaning: "TCP address for metrics and operators' questions (HTTP; HTTPS with client certificates when `tls.ca` is set). Without `tls.ca` it has no authentication; use an address that only operators reach.",
		set:     addressValue(func(s *Settings) *netip.AddrPort { return &s.Listen.Admin })},
	{Path: "advertise.data", Type: typeAddress, Range: advertisedRange, Optional: true,
		Meaning: "Address under which other VMs and targets reach `listen.data`; the same address when absent. Required when `listen.data` is 0.0.0.0 or [::].",
		set:     advertisedValue(func(s *Settings) *netip.AddrPort { return &s.Advertise.Data })},
	{Path: "advertise.control", Type: typeAddress, Range: advertisedRange, Optional: true,
		Meaning: "Address under which other VMs reach `listen.control`; the same address when absent. Required when `listen.control` is 0.0.0.0 or [::].",
		set:     advertisedValue(func(s *Settings) *netip.AddrPort { return &s.Advertise.Control })},
	{Path: "outgoing.address", Type: typeIP, Range: ipRange, Optional: true,
		Meaning: "Local address of the TCP connections that the VM opens: control links, health checks, VM list and store. The system chooses when absent. Datagrams leave from `listen.data` and `listen.callers`.",
		set:     setOutgoingAddress},
	{Path: "store.endpoints", Type: typeURLs, Range: "at least one " + urlRange,
		Meaning: "Endpoints of the platform's store.",
		set:     setEndpoints},
	{Path: "store.ca", Type: typePath, Range: pathRange, Optional: true,
		Meaning: "CA certificates of https endpoints, in PEM. When absent the three files of `[tls]` are used for https endpoints, or the system's CAs without `[tls]`.",
		set:     pathValue(func(s *Settings) *string { return &s.Store.TLS.CA })},
	{Path: "store.cert", Type: typePath, Range: pathRange, Optional: true,
		Meaning: "Certificate that the VM presents to the store, in PEM, issued by `store.ca`. Needs `store.ca` and `store.key`.",
		set:     pathValue(func(s *Settings) *string { return &s.Store.TLS.Cert })},
	{Path: "store.key", Type: typePath, Range: pathRange, Optional: true,
		Meaning: "Key of `store.cert`, in PEM. Needs `store.ca` and `store.cert`.",
		set:     pathValue(func(s *Settings) *string { return &s.Store.TLS.Key })},
	{Path: "vm_list.url", Type: typeURL, Range: urlRange + ", or empty", Optional: true,
		Meaning: "The platform's VM list. Without it the VM knows only its seeds and what other VMs tell it.",
		set:     setVMListURL},
	{Path: "tls.ca", Type: typePath, Range: pathRange, Optional: true,
		Meaning: "CA certificates that issue the certificates of VMs and operators, in PEM. Required when `tls.cert` or `tls.key` is set. Without it control links and the admin address are not authenticated.",
		set:     pathValue(func(s *Settings) *string { return &s.TLS.CA })},
	{Path: "tls.cert", Type: typePath, Range: pathRange, Optional: true,
		Meaning: "Certificate of this VM, in PEM, with the URI name `gypsumspan://<vm.domain>/<vm.name>`; intermediate certificates follow it. Required when `tls.ca` is set.",
		set:     pathValue(func(s *Settings) *string { return &s.TLS.Cert })},
	{Path: "tls.key", Type: typePath, Range: pathRange, Optional: true,
		Meaning: "Key of `tls.cert`, in PEM. Required when `tls.ca` is set. The three files are read again every 10 s.",
		set:     pathValue(func(s *Settings) *string { return &s.TLS.Key })},
	{Path: "datagrams.keys", Type: typePath, Range: pathRange, Optional: true,
		Meaning: "Keys of the datagrams between VMs: lines `ID KEY` with an id of 1 to 255 and 64 hexadecimal digits. The first key signs, all verify. The same on all VMs; read again every 10 s. Without it these datagrams are not authenticated.",
		set:     pathValue(func(s *Settings) *string { return &s.Datagrams.Keys })},
	{Path: "log.format", Type: typeString, Default: "json", Range: "one of json, text",
		Meaning: "Form of log lines, on the standard error.",
		set:     setLogFormat},
	{Path: "log.level", Type: typeString, Default: "info", Range: levelRange(),
		Meaning: "Lowest level that is written.",
		set:     setLogLevel},
	timing("timings.stop_grace", 30*time.Second, 0, 10*time.Minute,
		"Longest planned leave. It should exceed the longest deadline of a request.",
		func(t *Timings) *time.Duration { return &t.StopGrace }),
	timing("timings.vm_list_interval", 2*time.Second, 100*time.Millisecond, time.Minute,
		"Mean time between two polls of the VM list, with jitter.",
		func(t *Timings) *time.Duration { return &t.VMListInterval }),
	timing("timings.vm_list_timeout", time.Second, 10*time.Millisecond, 30*time.Second,
		"Time-out of one poll of the VM list.",
		func(t *Timings) *time.Duration { return &t.VMListTimeout }),
	timing("timings.health_interval", time.Second, 50*time.Millisecond, time.Minute,
		"Mean time between two polls of a target's health endpoint, with jitter.",
		func(t *Timings) *time.Duration { return &t.HealthInterval }),
	timing("timings.health_timeout", 500*time.Millisecond, 10*time.Millisecond, 10*time.Second,
		"Time-out of one poll of a target's health endpoint.",
		func(t *Timings) *time.Duration { return &t.HealthTimeout }),
	timing("timings.peer_dial_timeout", 500*time.Millisecond, 10*time.Millisecond, 5*time.Second,
		"Time-out for opening a control link; with `tls.ca` the handshake has the same time again.",
		func(t *Timings) *time.Duration { return &t.PeerDialTimeout }),
	timing("timings.peer_write_timeout", 500*time.Millisecond, 10*time.Millisecond, 5*time.Second,
		"Time-out for writing one message on a control link.",
		func(t *Timings) *time.Duration { return &t.PeerWriteTimeout }),
	timing("timings.peer_idle", time.Minute, time.Second, time.Hour,
		"An unused control link is closed after this time. It must be the same on all VMs.",
		func(t *Timings) *time.Duration { return &t.PeerIdle }),
	timing("timings.admin_wait", time.Second, 10*time.Millisecond, 30*time.Second,
		"Longest wait for the answer to a question on the admin address.",
		func(t *Timings) *time.Duration { return &t.AdminWait }),
}

func timing(path string, def, low, high time.Duration, meaning string, field func(t *Timings) *time.Duration) Key {
	return Key{
		Path:    path,
		Type:    typeDuration,
		Default: short(def),
		Range:   durationRange(low, high),
		Meaning: meaning,
		set:     durationValue(low, high, field),
	}
}

// Keys returns every key in the order of the reference.
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
