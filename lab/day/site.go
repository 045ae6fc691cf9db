package day

import (
	"bytes"
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

// Duration is a time.Duration that TOML files write as in "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Site is a deployment.
type Site struct {
	Domains      []string  `toml:"domains"` // failure domains
	VMsPerDomain int       `toml:"vms"`     // in each failure domain
	Fabric       string    `toml:"fabric"`  // steady or mod: how routers choose the VM of a flow
	Delays       Delays    `toml:"delays"`
	Bounds       Bounds    `toml:"bounds"`
	Services     []Service `toml:"service"`
	Kinds        []Kind    `toml:"kind"`
}

// Delays are one-way times of the network, and the time of an answer of the store.
type Delays struct {
	IntraDomain Duration `toml:"within"`  // a failure domain
	InterDomain Duration `toml:"between"` // failure domains
	Caller      Duration `toml:"caller"`  // to callers
	Store       Duration `toml:"store"`
}

// Bounds are what the operators ask for.
type Bounds struct {
	ApplyWithin  Duration `toml:"apply_within"`  // a change is in force at every VM
	DrainWithin  Duration `toml:"drain"`         // a leaving target gets no new flow
	MaxMisroute  Duration `toml:"misroute"`      // packets of a flow reach its target again
	SettleTime   Duration `toml:"calm"`          // without trouble, before a bound holds
	ReuseDelay   Duration `toml:"reuse"`         // an address may serve another service
	IdleTimeout  Duration `toml:"idle_timeout"`  // of a flow
	MaxFlowAge   Duration `toml:"max_flow"`      // age of a flow
	Heartbeat    Duration `toml:"heartbeat"`     // of targets
	RestartDelay Duration `toml:"restart_delay"` // of a process that has ended
}

// Service is a service with its targets.
type Service struct {
	Name           string   `toml:"name"`
	Targets        int      `toml:"targets"` // in all failure domains
	Slots          int      `toml:"slots"`   // of each target
	MaxQueue       int      `toml:"queue"`   // requests that may wait at a target
	MaxConnections int      `toml:"connections"`
	Cold           Duration `toml:"cold"` // time after its start in which a target is slow
}

// Kind is one kind of request.
type Kind struct {
	Name         string   `toml:"name"`
	Service      string   `toml:"service"`
	Idempotency  string   `toml:"idempotency"` // idempotent, non_idempotent or download
	Priority     int      `toml:"priority"`    // 0 is the most urgent
	Rate         float64  `toml:"rate"`        // requests a second, in all failure domains
	ServiceTime  Duration `toml:"work"`        // at a target
	LatencyGoal  Duration `toml:"goal"`        // latency objective
	Timeout      Duration `toml:"limit"`       // time limit of the caller
	RequestBytes int      `toml:"request"`     // bytes
	AnswerBytes  int      `toml:"answer"`      // bytes
	LongFlows    bool     `toml:"long_flows"`  // many requests a flow
	MaxRetries   int      `toml:"retries"`
	Value        float64  `toml:"worth"` // of an answer within the goal
	LateValue    float64  `toml:"late"`  // worth of a later one
}

// idempotencies are the names of the kinds of requests in files.
var idempotencies = map[string]catalog.Kind{
	"idempotent":     catalog.Idempotent,
	"non_idempotent": catalog.NonIdempotent,
	"download":       catalog.Download,
}

func (k *Kind) kind() catalog.Kind { return idempotencies[k.Idempotency] }

// Day is one day at a site.
type Day struct {
	Name        string       `toml:"name"`
	SiteFile    string       `toml:"site"` // relative to the day's file
	Length      Duration     `toml:"length"`
	Disruptions []Disruption `toml:"trouble"`

	Site *Site `toml:"-"`
}

// LoadDay reads and checks a day and its site. It returns ErrDay with every fault.
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

// LoadSite reads and checks a site. It returns ErrDay with every fault.
func LoadSite(path string) (*Site, error) {
	site := &Site{}
	if err := decode(path, site); err != nil {
		return nil, err
	}
	if faults := site.faults(); len(faults) > 0 {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrDay, errors.Join(faults...))
	}
	return site, nil
}

// decode reads a TOML file into v.
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

// Check returns every fault of the day as one ErrDay, or nil.
func (d *Day) Check() error {
	var faults []error
	if d.Length <= 0 {
		faults = append(faults, errors.New("length must be above 0"))
	}
	for i := range d.Disruptions {
		faults = append(faults, d.Disruptions[i].faults(d)...)
	}
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrDay, errors.Join(faults...))
}

func (s *Site) faults() (faults []error) {
	add := func(format string, values ...any) { faults = append(faults, fmt.Errorf(format, values...)) }
	if len(s.Domains) == 0 || s.VMsPerDomain < 1 {
		add("a site needs domains and vms")
	}
	if s.Fabric != fabricSteady && s.Fabric != fabricMod {
		add("fabric %q is neither %s nor %s", s.Fabric, fabricSteady, fabricMod)
	}
	if min(s.Delays.IntraDomain, s.Delays.InterDomain, s.Delays.Caller, s.Delays.Store) <= 0 {
		add("delays must be above 0")
	}
	b := s.Bounds
	if min(b.ApplyWithin, b.DrainWithin, b.MaxMisroute, b.SettleTime, b.ReuseDelay, b.IdleTimeout, b.MaxFlowAge, b.Heartbeat, b.RestartDelay) <= 0 {
		add("bounds must be above 0")
	}
	for _, service := range s.Services {
		if service.Name == "" || min(service.Targets, service.Slots, service.MaxQueue, service.MaxConnections) < 1 {
			add("service %q: name, targets, slots, queue and connections are required", service.Name)
		}
	}
	if len(s.Kinds) == 0 {
		add("a site needs kinds")
	}
	for i := range s.Kinds {
		faults = append(faults, s.Kinds[i].faults(s)...)
	}
	return faults
}

func (k *Kind) faults(s *Site) (faults []error) {
	add := func(format string, values ...any) {
		faults = append(faults, fmt.Errorf("kind %q: "+format, append([]any{k.Name}, values...)...))
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
	return faults
}

// catalog returns the settings of VMs from which their times follow.
func (s *Site) catalog() flowsettings.Catalog {
	return flowsettings.Catalog{ApplyWithin: s.Bounds.ApplyWithin.D()}
}

// service returns the service called name.
func (s *Site) service(name string) *Service {
	i := slices.IndexFunc(s.Services, func(service Service) bool { return service.Name == name })
	return &s.Services[i]
}
