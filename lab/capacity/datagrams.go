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
			Measure: func(m *Meter, n int) Point { return at(n, ingressTime(m, n, false)) },
		},
		{
			Name: "ingress.request.cpu", Unit: Nanoseconds, Per: "target of the service", Sizes: targets, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return at(n, ingressTime(m, n, true)) },
		},
		{
			Name: "ingress.codec.cpu", Unit: Nanoseconds, Per: "payload byte", Sizes: payloads, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return at(n, ingressCodecTime(m, n)) },
		},
		{
			Name: "owner.open.cpu", Unit: Nanoseconds, Per: "open flow", Sizes: flows, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return at(n, ownerOpenTime(m, n)) },
		},
		{
			Name: "owner.request.cpu", Unit: Nanoseconds, Per: "open flow", Sizes: flows, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return at(n, ownerRequestTime(m, n)) },
		},
		{
			Name: "owner.codec.cpu", Unit: Nanoseconds, Per: "payload byte", Sizes: payloads, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return at(n, ownerCodecTime(m, n)) },
		},
	}
}

// ingressFleet is the number of VMs around a measured ingress. The cost of a
// datagram does not depend on it once the owners are cached.
const ingressFleet = 64

// newIngress returns a VM in front of a service of n targets of another failure
// domain.
func newIngress(n int) (*rig, message.ServiceID, message.Binding) {
	r := newRig(members(ingressFleet), vm.Config{})
	s := oneService(n, 1)
	r.loadService(s)
	r.settle()
	return r, s.ID, message.Binding{Target: s.Targets[0].ID, Epoch: 1}
}

// ingressTime measures the choice of a target and owner for a datagram: an Open,
// which is ranked, or a Request with a binding.
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

// ingressCodecTime measures a request from its bytes to those of the Forward.
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

// requestStep is the time between two requests of a measurement, and tickEvery
// the number of requests between two ticks.
const (
	requestStep = time.Millisecond
	tickEvery   = int(tick / requestStep)
)

// pace advances the clock of a VM that serves a load.
func (r *rig) pace(i int) {
	r.now += requestStep
	if i%tickEvery == 0 {
		acknowledge(r.Tick(r.now), func(ack message.Message) { r.Receive(r.now, ack) })
	}
}

// ownerOpenTime measures the opening and the closing of a flow, with the ticks
// between them.
func ownerOpenTime(m *Meter, flows int) float64 {
	r := newOwnerRig(vm.Config{}, targetLimit)
	r.openAll(flows)
	i := flows
	return m.Time(func() {
		i++
		r.pace(i)
		r.open(i)
		closing := &message.Close{Service: r.service.ID, Flow: flowID(i), Binding: r.binding}
		call[*message.FlowEnd](r.rig, closing)
	})
}

// ownerRequestTime measures a request from its arrival to its answer, with the
// ticks between requests and the expiry of log entries.
func ownerRequestTime(m *Meter, flows int) float64 {
	r := newOwnerRig(vm.Config{}, targetLimit)
	r.openAll(flows)
	i := 0
	return m.Time(func() {
		i++
		r.pace(i)
		r.exchange(i%flows, smallPayload, time.Second)
	})
}

// ownerCodecTime measures the same with the codec: a Forward and an Answer are
// decoded, a Dispatch and an Answer are encoded.
func ownerCodecTime(m *Meter, payload int) float64 {
	r := newOwnerRig(vm.Config{}, targetLimit)
	var in, out []byte
	i := 0
	return m.Time(func() {
		i++
		r.pace(i)
		forward := &message.Forward{
			Ingress: 1, Caller: callerAddr, Target: r.binding.Target, Hinted: true,
			Inner: r.request(0, payload, time.Second),
		}
		in = encode(in[:0], forward)
		d := answerTo[*message.Dispatch](r.rig, message.Message{From: message.VMAddress(1, callerAddr), Body: decode(in)})
		out = encode(out[:0], d)
		answer := r.answer(d, payload)
		in = encode(in[:0], answer.Body)
		answer.Body = decode(in)
		out = encode(out[:0], answerTo[*message.Answer](r.rig, answer))
	})
}

// encode panics on an error, since the experiments make only valid messages.
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
