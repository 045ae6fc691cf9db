package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/lab/fleet"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// Site is the fleet of one user.
type Site struct {
	Name           string
	Domains        []string
	DomainLatency  time.Duration // one way between failure domains
	CallerLatency  time.Duration // one way between callers and VMs
	VMs            int
	FlowsPerTarget int // at full size
	Services       []Service
}

// Service is one service of a site.
type Service struct {
	fleet.ServiceSpec
	// Rates are the calls per second of each kind over the whole service at its
	// full number of targets.
	Rates []float64
}

// slots is the number of requests that one target executes at once.
const slots = 3

// SiteOf returns the site of a name, or ErrOption.
func SiteOf(name string) (Site, error) {
	switch name {
	case "wales":
		return Wales(), nil
	case "tasmania":
		return Tasmania(), nil
	default:
		return Site{}, fmt.Errorf("site %q is neither wales nor tasmania: %w", name, ErrOption)
	}
}

// Wales returns the site with the live tracking of races. Rates and service
// times are those of workloads/wales.toml.
func Wales() Site {
	return Site{
		Name:           "wales",
		Domains:        []string{"bangor", "harlech", "brecon"},
		DomainLatency:  500 * time.Microsecond,
		CallerLatency:  time.Millisecond,
		VMs:            15,
		FlowsPerTarget: 4300,
		Services: []Service{
			{ServiceSpec: fleet.ServiceSpec{Name: "live-tracking", Targets: 14, Slots: slots, Kinds: []fleet.KindSpec{
				kind("check-in", table.Urgent, 4, false, 10, 0.3, 64, 3000),
				kind("position", table.Normal, 3, true, 8, 0.4, 600, 2000),
				kind("map-update", table.Bulk, 1, true, 22, 0.4, 4000, 4000),
			}}, Rates: []float64{120, 1600, 500}},
			{ServiceSpec: fleet.ServiceSpec{Name: "course-files", Targets: 4, Slots: slots, Kinds: []fleet.KindSpec{
				kind("course-file", table.Bulk, 1, true, 60, 0.5, 48000, 10000),
			}}, Rates: []float64{60}},
		},
	}
}

// Tasmania returns the site with the intake of sugar beet. Rates and service
// times are those of workloads/tasmania.toml.
func Tasmania() Site {
	return Site{
		Name:           "tasmania",
		Domains:        []string{"devonport", "launceston", "hobart"},
		DomainLatency:  1500 * time.Microsecond,
		CallerLatency:  3 * time.Millisecond,
		VMs:            18,
		FlowsPerTarget: 4500,
		Services: []Service{
			{ServiceSpec: fleet.ServiceSpec{Name: "weighbridge", Targets: 14, Slots: slots, Kinds: []fleet.KindSpec{
				kind("submission", table.Urgent, 4, false, 15, 0.3, 80, 4000),
				kind("load-status", table.Normal, 2, true, 9, 0.4, 300, 2000),
			}}, Rates: []float64{300, 2000}},
			{ServiceSpec: fleet.ServiceSpec{Name: "dockets", Targets: 4, Slots: slots, Kinds: []fleet.KindSpec{
				kind("docket", table.Bulk, 1, true, 40, 0.5, 20000, 8000),
			}}, Rates: []float64{120}},
		},
	}
}

// kind returns a kind of work. Median service time and time-out are in
// milliseconds, the answer in bytes.
func kind(name string, urgency table.Urgency, share uint32, idempotent bool, median, sigma float64, answer, timeout int) fleet.KindSpec {
	return fleet.KindSpec{
		Kind:       table.Kind{Name: name, Urgency: urgency, Share: share},
		Idempotent: idempotent,
		Work: target.RequestProfile{
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

// shrink returns the site with a part of its targets and calls, but at least
// two targets a service. Calls a target stay as they are.
func (s Site) shrink(scale float64) Site {
	services := make([]Service, len(s.Services))
	for i, service := range s.Services {
		full := service.Targets
		service.Targets = max(2, int(math.Round(float64(full)*min(scale, 1))))
		service.Rates = scaled(service.Rates, float64(service.Targets)/float64(full))
		services[i] = service
	}
	s.Services = services
	return s
}

// scaled returns the rates times a factor.
func scaled(rates []float64, factor float64) []float64 {
	all := make([]float64, len(rates))
	for i, rate := range rates {
		all[i] = rate * factor
	}
	return all
}

// capacity returns the calls per second of one kind that all slots of the
// service execute, from the mean of the log-normal service time.
func (s *Service) capacity(k int) float64 {
	work := s.Kinds[k].Work
	mean := work.Median.Seconds() * math.Exp(work.Sigma*work.Sigma/2)
	return float64(s.Targets*s.Slots) / mean
}
