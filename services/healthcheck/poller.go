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

// maxResponseBytes is the largest accepted response of a health endpoint.
const maxResponseBytes = 4096

// poller is a duty that polls one target at a time.
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
		client:  httpget.New(s.config.Timeout, maxResponseBytes, s.config.LocalAddr),
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

// healthResponse is the response body of a health endpoint.
type healthResponse struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
	InFlight int  `json:"in_flight"` // requests
}

// poll polls one target and sends the report to the state machine.
func (p *poller) poll(j job) {
	var response healthResponse
	err := p.client.GetJSON(p.service.ctx, fmt.Sprintf("http://%s/health", j.health), &response)
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
		Body: report(j.target, response, err),
	})
}

// report converts a response to a message. A status other than 200 is the response
// of an unhealthy target. A malformed response may come from another program at
// the address and counts as no response.
func report(target message.TargetID, response healthResponse, err error) *message.TargetReport {
	if errors.Is(err, httpget.ErrStatus) {
		return &message.TargetReport{Target: target, Reached: true}
	}
	if err != nil {
		return &message.TargetReport{Target: target}
	}
	return &message.TargetReport{
		Target:   target,
		Reached:  true,
		Healthy:  response.Healthy,
		Draining: response.Draining,
		Cold:     response.Cold,
		InFlight: max(response.InFlight, 0),
	}
}
