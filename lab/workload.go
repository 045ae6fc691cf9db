package lab

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// Workload describes services, their targets and the load on them.
type Workload struct {
	Name     string    `toml:"name"`
	Scale    float64   `toml:"scale"`     // multiplies flows and rates
	OpenRate float64   `toml:"open_rate"` // flows per second, before scaling
	Services []Service `toml:"services"`
}

// Service is one service of a workload.
type Service struct {
	Name           string          `toml:"name"`
	Address        string          `toml:"address"`
	Slots          int             `toml:"slots"` // of each target
	FlowsPerTarget int             `toml:"flows_per_target"`
	Churn          float64         `toml:"churn"` // flows replaced per second, before scaling
	Targets        []DomainTargets `toml:"targets"`
	Kinds          []Kind          `toml:"kinds"`
}

// DomainTargets lists a service's targets in one failure domain, by weight.
type DomainTargets struct {
	Domain  string   `toml:"domain"`
	Weights []uint32 `toml:"weights"`
}

// Kind is one kind of request.
type Kind struct {
	Name         string  `toml:"name"`
	Urgency      string  `toml:"urgency"` // urgent, normal or bulk
	Share        uint32  `toml:"share"`
	Idempotent   bool    `toml:"idempotent"`
	Rate         float64 `toml:"rate"` // requests per second, before scaling
	RequestBytes int     `toml:"request_bytes"`
	AnswerBytes  int     `toml:"answer_bytes"`
	ServiceMS    float64 `toml:"service_ms"` // median
	Sigma        float64 `toml:"sigma"`      // of the log-normal service time
	TimeoutMS    int     `toml:"timeout_ms"`
}

// Target is one target of a workload.
type Target struct {
	ID      message.TargetID
	Service int // index in Workload.Services
	Name    string
	Domain  string
	Weight  uint32
	Slots   int
	target.Addresses
}

// minRequestBytes is the length of the run ID and the call number in a payload.
const minRequestBytes = 16

// LoadWorkload reads and validates a workload file. It returns ErrInvalidWorkload.
func LoadWorkload(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidWorkload, err)
	}
	w, err := ParseWorkload(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return w, nil
}

// ParseWorkload decodes and validates a workload. It returns ErrInvalidWorkload.
func ParseWorkload(data []byte) (*Workload, error) {
	w := &Workload{}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidWorkload, err)
	}
	if err := w.validate(); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *Workload) validate() error {
	if w.Scale <= 0 || w.OpenRate <= 0 {
		return fmt.Errorf("scale %v and open_rate %v must be above 0: %w", w.Scale, w.OpenRate, ErrInvalidWorkload)
	}
	if len(w.Services) == 0 {
		return fmt.Errorf("no services: %w", ErrInvalidWorkload)
	}
	for i := range w.Services {
		if err := w.Services[i].validate(); err != nil {
			return fmt.Errorf("service %q: %w", w.Services[i].Name, err)
		}
	}
	return nil
}

func (s *Service) validate() error {
	if s.Name == "" || s.Slots < 1 || s.FlowsPerTarget < 1 || s.Churn < 0 {
		return fmt.Errorf("name, slots and flows_per_target are required, churn must not be negative: %w", ErrInvalidWorkload)
	}
	if len(s.Kinds) == 0 || len(s.Kinds) > 256 {
		return fmt.Errorf("%d kinds: %w", len(s.Kinds), ErrInvalidWorkload)
	}
	targets := 0
	for _, d := range s.Targets {
		targets += len(d.Weights)
	}
	if targets == 0 {
		return fmt.Errorf("no targets: %w", ErrInvalidWorkload)
	}
	for _, k := range s.Kinds {
		if k.Rate <= 0 || k.RequestBytes < minRequestBytes || k.ServiceMS <= 0 || k.TimeoutMS <= 0 {
			return fmt.Errorf("kind %q: rate, service_ms and timeout_ms must be above 0, request_bytes at least %d: %w",
				k.Name, minRequestBytes, ErrInvalidWorkload)
		}
	}
	return nil
}

// Targets returns all targets, with addresses on host: request sockets on
// basePort, basePort+2 and so on, health endpoints on the ports between.
func (w *Workload) Targets(host netip.Addr, basePort uint16) []Target {
	var all []Target
	for i, s := range w.Services {
		number := 0
		for _, d := range s.Targets {
			for _, weight := range d.Weights {
				number++
				name := fmt.Sprintf("t%02d", number)
				port := basePort + 2*uint16(len(all))
				all = append(all, Target{
					ID:      message.TargetIDOf(s.Name, name),
					Service: i,
					Name:    name,
					Domain:  d.Domain,
					Weight:  weight,
					Slots:   s.Slots,
					Addresses: target.Addresses{
						Requests: netip.AddrPortFrom(host, port),
						Health:   netip.AddrPortFrom(host, port+1),
					},
				})
			}
		}
	}
	return all
}

// flowCount returns the number of flows to a service, scaled.
func (w *Workload) flowCount(s *Service) int {
	targets := 0
	for _, d := range s.Targets {
		targets += len(d.Weights)
	}
	return max(1, int(float64(targets*s.FlowsPerTarget)*w.Scale))
}

// minOpenRatio is the fraction of a workload's flows that are open at any time while
// flows are replaced.
const minOpenRatio = 0.95

// minOpenFlows returns the number of flows that are open at any time of a load run.
func (w *Workload) minOpenFlows() int {
	total := 0
	for i := range w.Services {
		total += w.flowCount(&w.Services[i])
	}
	return int(minOpenRatio * float64(total))
}

// requestProfiles returns the profiles of the service's kinds for a stand-in target.
func (s *Service) requestProfiles() []target.RequestProfile {
	profiles := make([]target.RequestProfile, 0, len(s.Kinds))
	for _, k := range s.Kinds {
		profiles = append(profiles, target.RequestProfile{
			Median:     time.Duration(k.ServiceMS * float64(time.Millisecond)),
			Sigma:      k.Sigma,
			AnswerSize: k.AnswerBytes,
		})
	}
	return profiles
}
