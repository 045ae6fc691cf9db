package lab

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/gypsumspan/gypsumspan/caller"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// Called is the result of one call.
type Called struct {
	Flow message.FlowID
	Echo []byte // what the stand-in target echoed of the request
}

// Call sends one request over a new flow. It returns errors of package caller,
// and ErrPromiseBroken for a wrong answer.
func Call(ctx context.Context, vms []netip.AddrPort, service string, payload []byte) (Called, error) {
	client, err := caller.Dial(caller.Config{Fabric: vms})
	if err != nil {
		return Called{}, err
	}
	defer client.Close()
	flow, err := client.OpenFlow(ctx, service)
	if err != nil {
		return Called{}, err
	}
	answer, err := flow.Do(ctx, caller.Request{Payload: payload})
	if err != nil {
		return Called{}, err
	}
	if !target.IsAnswerTo(payload, answer) {
		return Called{}, fmt.Errorf("answer of %d bytes is not an answer to the request: %w", len(answer), ErrPromiseBroken)
	}
	id, err := flow.WireID()
	return Called{Flow: id, Echo: target.EchoedPayload(answer)}, err
}
