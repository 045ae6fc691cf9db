package capacity

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/vm"
	"github.com/gypsumspan/gypsumspan/wire"
)

func datagramExperiments() []Experiment {
	targets := []int{4, 16, 64}
	flows := []int{100, 1_000, 10_000}
	payloads := []int{64, 512, 1_200}
	tiny := []int{4, 8, 16}
	return []Experiment{
		{
			Name: "ingress.open.cpu", Unit: Nanoseconds, Per: "target of the service", Sizes: targets, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return newPoint(n, ingressTime(m, n, false)) },
		},
		{
			Name: "ingress.request.cpu", Unit: Nanoseconds, Per: "target of the service", Sizes: targets, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return newPoint(n, ingressTime(m, n, true)) },
		},
		{
			Name: "ingress.codec.cpu", Unit: Nanoseconds, Per: "payload byte", Sizes: payloads, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return newPoint(n, ingressCodecTime(m, n)) },
		},
		{
			Name: "owner.open.cpu", Unit: Nanoseconds, Per: "open flow", Sizes: flows, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return newPoint(n, ownerOpenTime(m, n)) },
		},
		{
			Name: "owner.request.cpu", Unit: Nanoseconds, Per: "open flow", Sizes: flows, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return newPoint(n, ownerRequestTime(m, n)) },
		},
		{
			Name: "owner.codec.cpu", Unit: Nanoseconds, Per: "payload byte", Sizes: payloads, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return newPoint(n, ownerCodecTime(m, n)) },
		},
	}
}

// ingressFleetVMs is the number of VMs in the fleet of a measured ingress. The cost of a
// datagram does not depend on it once the owners are cached.
const ingressFleetVMs = 64

// newIngress returns a VM that does not own any of the n targets of a service, since they are
// in another failure domain, with the service's id and a binding to its first target.
func newIngress(n int) (*harness, message.ServiceID, message.Binding) {
	r := newHarness(members(ingressFleetVMs), vm.Config{})
	s := oneService(n, 1)
	r.mergeService(s)
	r.settle()
	return r, s.ID, message.Binding{Target: s.Targets[0].ID, Epoch: 1}
}

// ingressTime measures the choice of a target and its owner for a datagram: an Open, for
// which the targets are ranked, or, if bound, a Request with a binding.
func ingressTime(m *Meter, targets int, bound bool) float64 {
	r, id, binding := newIngress(targets)
	i := 0
	return m.Time(func() {
		i++
		if bound {
			call[*message.Forward](r, ingressRequest(id, binding, i, nil))
			return
		}
		call[*message.Forward](r, &message.Open{Service: id, Flow: flowID(i)})
	})
}

func ingressRequest(id message.ServiceID, b message.Binding, i int, payload []byte) *message.Request {
	return &message.Request{
		Service: id, Flow: flowID(i), ID: 1, Attempt: 1, Parts: 1,
		Deadline: time.Second, Binding: b, Payload: payload,
	}
}

// ingressCodecTime measures a Request from its decoding to the encoding of its Forward.
func ingressCodecTime(m *Meter, payload int) float64 {
	const targets = 9
	r, id, binding := newIngress(targets)
	in := encode(nil, ingressRequest(id, binding, 1, make([]byte, payload)))
	var out []byte
	return m.Time(func() {
		forward := call[*message.Forward](r, decode(in))
		out = encode(out[:0], forward)
	})
}

// requestInterval is the virtual time between two requests of a measurement, and
// requestsPerTick the number of requests between two ticks.
const (
	requestInterval = time.Millisecond
	requestsPerTick = int(tick / requestInterval)
)

// advanceClock advances the clock of a VM under load by one request, the i-th, and ticks the
// VM when a tick is due.
func (r *harness) advanceClock(i int) {
	r.now += requestInterval
	if i%requestsPerTick == 0 {
		acknowledge(r.Tick(r.now), func(ack message.Message) { r.Receive(r.now, ack) })
	}
}

// ownerOpenTime measures the opening and closing of a flow, and its part of the ticks.
func ownerOpenTime(m *Meter, flows int) float64 {
	r := newOwnerHarness(vm.Config{}, targetLimit)
	r.openAll(flows)
	i := flows
	return m.Time(func() {
		i++
		r.advanceClock(i)
		r.open(i)
		closing := &message.Close{Service: r.service.ID, Flow: flowID(i), Binding: r.binding}
		call[*message.FlowEnd](r.harness, closing)
	})
}

// ownerRequestTime measures a request from its arrival to its answer, and its part of the
// ticks and of the expiry of request log entries.
func ownerRequestTime(m *Meter, flows int) float64 {
	r := newOwnerHarness(vm.Config{}, targetLimit)
	r.openAll(flows)
	i := 0
	return m.Time(func() {
		i++
		r.advanceClock(i)
		r.exchange(i%flows, smallPayloadBytes, time.Second)
	})
}

// ownerCodecTime measures a request like ownerRequestTime, together with the codec: a Forward
// and an Answer are decoded, a Dispatch and an Answer are encoded.
func ownerCodecTime(m *Meter, payload int) float64 {
	r := newOwnerHarness(vm.Config{}, targetLimit)
	var in, out []byte
	i := 0
	return m.Time(func() {
		i++
		r.advanceClock(i)
		forward := &message.Forward{
			Ingress: 1, Caller: callerAddr, Target: r.binding.Target, Hinted: true,
			Inner: r.request(0, payload, time.Second),
		}
		in = encode(in[:0], forward)
		d := answerTo[*message.Dispatch](r.harness, message.Message{From: message.VMAddress(1, callerAddr), Body: decode(in)})
		out = encode(out[:0], d)
		answer := r.answer(d, payload)
		in = encode(in[:0], answer.Body)
		answer.Body = decode(in)
		out = encode(out[:0], answerTo[*message.Answer](r.harness, answer))
	})
}

// encode appends the encoding of a message to dst. It panics on an error, since the
// experiments make only valid messages.
func encode(dst []byte, body message.Body) []byte {
	out, err := wire.Append(dst, body)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return out
}

func decode(data []byte) message.Body {
	body, err := wire.Decode(data)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return body
}
