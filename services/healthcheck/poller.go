package healthcheck

import (
	"errors"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/httpget"
)

// maxAnswer is the largest answer of a health endpoint, in bytes.
const maxAnswer = 4096

// poller is one duty that polls one target at a time.
type poller struct {
	service *Service
	name    string
	gate    *kernel.Gate
	ring    *kernel.Ring[job]
	client  *httpget.Client
}

func newPoller(s *Service, k *kernel.Kernel, i int) *poller {
	p := &poller{
		service: s,
		name:    pollerName(i),
		gate:    kernel.NewGate(),
		client:  httpget.New(s.config.Timeout, maxAnswer, s.config.Outgoing),
	}
	p.ring = kernel.NewRing[job](k, p.name, pollerCapacity, kernel.DropNewest, p.gate)
	return p
}

func (p *poller) step(now time.Duration) time.Duration {
	j, ok := p.ring.Take()
	if !ok {
		return kernel.Idle
	}
	p.poll(j)
	return now
}

// answer is what a health endpoint says.
type answer struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
	InFlight int  `json:"in_flight"` // requests
}

// poll asks one target and hands the report to the decisions.
func (p *poller) poll(j job) {
	var a answer
	err := p.client.GetJSON(p.service.ctx, fmt.Sprintf("http://%s/health", j.health), &a)
	if p.service.ctx.Err() != nil {
		return
	}
	if err != nil {
		p.service.log.Log(events.HealthPollFailed,
			events.F("target", fmt.Sprintf("%016x", uint64(j.target))),
			events.F("address", j.health),
			events.F("error", err))
	}
	_ = p.service.core.Put(message.Message{
		From: message.TargetAddress(j.target, j.health),
		Body: report(j.target, a, err),
	})
}

// report turns an answer into a message. A status other than 200 is an answer
// of an unhealthy target; an answer that is not JSON may come from another
// program at the address and counts as none.
func report(target message.TargetID, a answer, err error) *message.TargetReport {
	if errors.Is(err, httpget.ErrStatus) {
		return &message.TargetReport{Target: target, Reached: true}
	}
	if err != nil {
		return &message.TargetReport{Target: target}
	}
	return &message.TargetReport{
		Target:   target,
		Reached:  true,
		Healthy:  a.Healthy,
		Draining: a.Draining,
		Cold:     a.Cold,
		InFlight: max(a.InFlight, 0),
	}
}
