package day

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/settings/flowsettings"
)

// Duration is a time.Duration that is written as a string such as "250ms" in TOML.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Site describes a deployment.
type Site struct {
	Domains      []string `toml:"domains"` // failure domains
	VMsPerDomain int      `toml:"vms"`
	Fabric       string   `toml:"fabric"` // how routers hash flows to VMs: steady or mod
	// LinkMbps is the rate of each VM's link, in each direction, for answers of the store and to
	// pulls; 0: they take no time.
	LinkMbps float64   `toml:"link_mbps"`
	Delays   Delays    `toml:"delays"`
	Bounds   Bounds    `toml:"bounds"`
	Services []Service `toml:"service"`
	Kinds    []Kind    `toml:"kind"`
	Wave     Wave      `toml:"wave"`
	Tail     Tail      `toml:"tail"`
}

// Delays are the one-way delays of the network, and the response time of the store.
type Delays struct {
	IntraDomain Duration `toml:"within"`  // within a failure domain
	InterDomain Duration `toml:"between"` // between failure domains
	Caller      Duration `toml:"caller"`  // between callers and anything else
	Store       Duration `toml:"store"`
}

// Bounds are the operators' requirements and the times that follow from them.
type Bounds struct {
	ApplyWithin Duration `toml:"apply_within"` // deadline for a change to be in force at every VM
	DrainWithin Duration `toml:"drain"`        // deadline after which a draining target gets no new flow
	// EvacuateWithin is the deadline after which targets of an evacuated failure domain get no
	// new flow; 0: ApplyWithin.
	EvacuateWithin Duration `toml:"evacuate_within"`
	MaxMisroute    Duration `toml:"misroute"`      // longest time for which packets of a flow may reach another target
	SettleTime     Duration `toml:"calm"`          // time without disruption after which the bounds hold
	ReuseDelay     Duration `toml:"reuse"`         // time after which the address of a crashed target may serve another service
	IdleTimeout    Duration `toml:"idle_timeout"`  // of a flow
	MaxFlowAge     Duration `toml:"max_flow"`      // flows of a greater age may be reset
	Heartbeat      Duration `toml:"heartbeat"`     // interval of the heartbeats of targets
	RestartDelay   Duration `toml:"restart_delay"` // of a VM's process that has ended
}

// evacuateWithin returns the bound of evacuations.
func (b *Bounds) evacuateWithin() time.Duration { return cmp.Or(b.EvacuateWithin, b.ApplyWithin).D() }

// Service describes a service and its targets.
type Service struct {
	Name           string   `toml:"name"`
	Targets        int      `toml:"targets"` // over all failure domains
	Slots          int      `toml:"slots"`   // concurrent requests per target
	MaxQueue       int      `toml:"queue"`   // requests that may be queued at a target
	MaxConnections int      `toml:"connections"`
	Cold           Duration `toml:"cold"` // warm-up time after its start, during which a target is slow
	// ColdPerSecond is the number of requests per second that a target bears while it is cold; 0:
	// the service has no such limit.
	ColdPerSecond float64 `toml:"cold_per_s"`
	// Speeds are those of the targets in each failure domain, cyclic in the order of their
	// start. Without any, all have speed 1.
	Speeds []float64 `toml:"speeds"`
}

// speed returns the speed of target number i of a failure domain, from 0.
func (s *Service) speed(i int) float64 {
	if len(s.Speeds) == 0 {
		return 1
	}
	return s.Speeds[i%len(s.Speeds)]
}

// Kind describes one kind of request.
type Kind struct {
	Name         string   `toml:"name"`
	Service      string   `toml:"service"`
	Idempotency  string   `toml:"idempotency"` // idempotent, non_idempotent or download
	Priority     int      `toml:"priority"`    // 0 is the highest
	Rate         float64  `toml:"rate"`        // requests per second over all failure domains
	ServiceTime  Duration `toml:"work"`        // mean time at a target
	LatencyGoal  Duration `toml:"goal"`
	Timeout      Duration `toml:"limit"` // of the caller
	RequestBytes int      `toml:"request"`
	AnswerBytes  int      `toml:"answer"`
	LongFlows    bool     `toml:"long_flows"` // callers reuse a flow for many requests
	MaxRetries   int      `toml:"retries"`
	Value        float64  `toml:"worth"` // of an answer within the latency goal
	LateValue    float64  `toml:"late"`  // of an answer after the latency goal
}

// idempotencies maps the values of the key idempotency to the kinds of the catalog.
var idempotencies = map[string]catalog.Kind{
	"idempotent":     catalog.Idempotent,
	"non_idempotent": catalog.NonIdempotent,
	"download":       catalog.Download,
}

func (k *Kind) catalogKind() catalog.Kind { return idempotencies[k.Idempotency] }

// Day is a scenario at a site: a length and the disruptions in it.
type Day struct {
	Name        string       `toml:"name"`
	SiteFile    string       `toml:"site"` // relative to the day's file
	Length      Duration     `toml:"length"`
	Disruptions []Disruption `toml:"trouble"`

	Site *Site `toml:"-"`
}

// LoadDay reads and validates a day and its site. It returns ErrDay with every
// validation error.
func LoadDay(path string) (*Day, error) {
	d := &Day{}
	if err := decode(path, d); err != nil {
		return nil, err
	}
	site, err := LoadSite(filepath.Join(filepath.Dir(path), d.SiteFile))
	if err != nil {
		return nil, err
	}
	d.Site = site
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// LoadSite reads and validates a site. It returns ErrDay with every validation error.
func LoadSite(path string) (*Site, error) {
	site := &Site{}
	if err := decode(path, site); err != nil {
		return nil, err
	}
	if errs := site.validate(); len(errs) > 0 {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrDay, errors.Join(errs...))
	}
	return site, nil
}

// decode reads a TOML file into v. Unknown keys are errors.
func decode(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDay, err)
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return fmt.Errorf("%s: %w: %s", path, ErrDay, strict.String())
		}
		return fmt.Errorf("%s: %w: %w", path, ErrDay, err)
	}
	return nil
}

// Check validates the day. It returns ErrDay with every validation error, or nil.
func (d *Day) Check() error {
	var errs []error
	if d.Length <= 0 {
		errs = append(errs, errors.New("length must be above 0"))
	}
	for i := range d.Disruptions {
		errs = append(errs, d.Disruptions[i].validate(d)...)
	}
	if len(errs) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrDay, errors.Join(errs...))
}

func (s *Site) validate() (errs []error) {
	add := func(format string, values ...any) { errs = append(errs, fmt.Errorf(format, values...)) }
	if len(s.Domains) == 0 || s.VMsPerDomain < 1 {
		add("domains and vms are required")
	}
	if s.Fabric != fabricSteady && s.Fabric != fabricMod {
		add("fabric %q is neither %s nor %s", s.Fabric, fabricSteady, fabricMod)
	}
	if min(s.Delays.IntraDomain, s.Delays.InterDomain, s.Delays.Caller, s.Delays.Store) <= 0 {
		add("delays must be above 0")
	}
	if s.LinkMbps < 0 {
		add("link_mbps must not be negative")
	}
	b := s.Bounds
	if min(b.ApplyWithin, b.DrainWithin, b.MaxMisroute, b.SettleTime, b.ReuseDelay, b.IdleTimeout, b.MaxFlowAge, b.Heartbeat, b.RestartDelay) <= 0 {
		add("bounds must be above 0")
	}
	if b.EvacuateWithin < 0 {
		add("evacuate_within must not be negative")
	}
	errs = append(errs, s.Wave.validate(len(s.Domains))...)
	if s.Tail.Share < 0 || s.Tail.Share > 1 || s.Tail.Share > 0 && s.Tail.Factor <= 0 {
		add("tail: share must be from 0 to 1 and factor above 0")
	}
	for _, service := range s.Services {
		if slices.ContainsFunc(service.Speeds, func(x float64) bool { return x <= 0 }) {
			add("service %q: speeds must be above 0", service.Name)
		}
		if service.ColdPerSecond < 0 {
			add("service %q: cold_per_s must not be negative", service.Name)
		}
		if service.Name == "" || min(service.Targets, service.Slots, service.MaxQueue, service.MaxConnections) < 1 {
			add("service %q: name, targets, slots, queue and connections are required", service.Name)
		}
	}
	if len(s.Kinds) == 0 {
		add("at least one kind is required")
	}
	for i := range s.Kinds {
		errs = append(errs, s.Kinds[i].validate(s)...)
	}
	return errs
}

func (k *Kind) validate(s *Site) (errs []error) {
	add := func(format string, values ...any) {
		errs = append(errs, fmt.Errorf("kind %q: "+format, append([]any{k.Name}, values...)...))
	}
	if !slices.ContainsFunc(s.Services, func(service Service) bool { return service.Name == k.Service }) {
		add("unknown service %q", k.Service)
	}
	if _, ok := idempotencies[k.Idempotency]; !ok {
		add("idempotency %q is not idempotent, non_idempotent or download", k.Idempotency)
	}
	if k.Rate <= 0 || min(k.ServiceTime, k.LatencyGoal, k.Timeout) <= 0 || min(k.RequestBytes, k.AnswerBytes) < 1 {
		add("rate, work, goal, limit, request and answer must be above 0")
	}
	if k.RequestBytes > maxData {
		add("request must be at most %d bytes", maxData)
	}
	return errs
}

// catalogSettings returns the VMs' settings from which their timing is derived.
func (s *Site) catalogSettings() flowsettings.Catalog {
	return flowsettings.Catalog{ApplyWithin: s.Bounds.ApplyWithin.D(), EvacuateWithin: s.Bounds.EvacuateWithin.D()}
}

// service returns the service called name.
func (s *Site) service(name string) *Service {
	i := slices.IndexFunc(s.Services, func(service Service) bool { return service.Name == name })
	return &s.Services[i]
}
