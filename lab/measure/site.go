package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/lab/fleet"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// Site is the fleet, the network and the load of a user.
type Site struct {
	Name           string
	Domains        []string
	DomainLatency  time.Duration // one-way, between failure domains
	CallerLatency  time.Duration // one-way, between callers and VMs
	VMs            int
	FlowsPerTarget int // at scale 1
	Services       []Service
}

// Service is a service of a site.
type Service struct {
	fleet.ServiceSpec
	// Rates are the calls per second of each kind to the whole service at its full number of
	// targets.
	Rates []float64
}

// slotsPerTarget is the number of requests that a target executes concurrently.
const slotsPerTarget = 3

// SiteByName returns the site with a name. It returns ErrInvalidOption for an unknown name.
func SiteByName(name string) (Site, error) {
	switch name {
	case "wales":
		return Wales(), nil
	case "tasmania":
		return Tasmania(), nil
	default:
		return Site{}, fmt.Errorf("site %q is neither wales nor tasmania: %w", name, ErrInvalidOption)
	}
}

// Wales returns the site that tracks races live. Rates and service times are those of
// workloads/wales.toml.
func Wales() Site {
	return Site{
		Name:           "wales",
		Domains:        []string{"bangor", "harlech", "brecon"},
		DomainLatency:  500 * time.Microsecond,
		CallerLatency:  time.Millisecond,
		VMs:            15,
		FlowsPerTarget: 4300,
		Services: []Service{
			{ServiceSpec: fleet.ServiceSpec{Name: "live-tracking", Targets: 14, Slots: slotsPerTarget, Kinds: []fleet.KindSpec{
				kindSpec("check-in", table.Urgent, 4, false, 10, 0.3, 64, 3000),
				kindSpec("position", table.Normal, 3, true, 8, 0.4, 600, 2000),
				kindSpec("map-update", table.Bulk, 1, true, 22, 0.4, 4000, 4000),
			}}, Rates: []float64{120, 1600, 500}},
			{ServiceSpec: fleet.ServiceSpec{Name: "course-files", Targets: 4, Slots: slotsPerTarget, Kinds: []fleet.KindSpec{
				kindSpec("course-file", table.Bulk, 1, true, 60, 0.5, 48000, 10000),
			}}, Rates: []float64{60}},
		},
	}
}

// Tasmania returns the site that handles the intake of sugar beet. Rates and service times
// are those of workloads/tasmania.toml.
func Tasmania() Site {
	return Site{
		Name:           "tasmania",
		Domains:        []string{"devonport", "launceston", "hobart"},
		DomainLatency:  1500 * time.Microsecond,
		CallerLatency:  3 * time.Millisecond,
		VMs:            18,
		FlowsPerTarget: 4500,
		Services: []Service{
			{ServiceSpec: fleet.ServiceSpec{Name: "weighbridge", Targets: 14, Slots: slotsPerTarget, Kinds: []fleet.KindSpec{
				kindSpec("submission", table.Urgent, 4, false, 15, 0.3, 80, 4000),
				kindSpec("load-status", table.Normal, 2, true, 9, 0.4, 300, 2000),
			}}, Rates: []float64{300, 2000}},
			{ServiceSpec: fleet.ServiceSpec{Name: "dockets", Targets: 4, Slots: slotsPerTarget, Kinds: []fleet.KindSpec{
				kindSpec("docket", table.Bulk, 1, true, 40, 0.5, 20000, 8000),
			}}, Rates: []float64{120}},
		},
	}
}

// kindSpec returns a kind with log-normal service times. The median service time and the
// timeout are in milliseconds, the size of an answer in bytes.
func kindSpec(name string, urgency table.Urgency, share uint32, idempotent bool, median, sigma float64, answer, timeout int) fleet.KindSpec {
	return fleet.KindSpec{
		Kind:       table.Kind{Name: name, Urgency: urgency, Share: share},
		Idempotent: idempotent,
		Profile: target.RequestProfile{
			Median:     time.Duration(median * float64(time.Millisecond)),
			Sigma:      sigma,
			AnswerSize: answer,
		},
		Timeout: time.Duration(timeout) * time.Millisecond,
	}
}

// options returns the network of the site.
func (s *Site) options(seed uint64) fleet.Options {
	return fleet.Options{
		Seed:          seed,
		Domains:       s.Domains,
		DomainLatency: s.DomainLatency,
		CallerLatency: s.CallerLatency,
		Jitter:        200 * time.Microsecond,
		ListLag:       2 * time.Second,
		FabricLag:     time.Second,
		Codec:         true,
	}
}

// shrink returns the site with a fraction of its targets and calls, but at least two targets
// per service. The number of calls per target is unchanged.
func (s Site) shrink(scale float64) Site {
	services := make([]Service, len(s.Services))
	for i, service := range s.Services {
		full := service.Targets
		service.Targets = max(2, int(math.Round(float64(full)*min(scale, 1))))
		service.Rates = scaleRates(service.Rates, float64(service.Targets)/float64(full))
		services[i] = service
	}
	s.Services = services
	return s
}

// scaleRates returns the rates multiplied by a factor.
func scaleRates(rates []float64, factor float64) []float64 {
	all := make([]float64, len(rates))
	for i, rate := range rates {
		all[i] = rate * factor
	}
	return all
}

// capacity returns the calls per second of one kind that all slots of the service together
// execute, computed from the mean of the log-normal service time.
func (s *Service) capacity(k int) float64 {
	profile := s.Kinds[k].Profile
	mean := profile.Median.Seconds() * math.Exp(profile.Sigma*profile.Sigma/2)
	return float64(s.Targets*s.Slots) / mean
}
