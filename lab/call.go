package lab

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/gypsumspan/gypsumspan/caller"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// CallResult is the result of one call.
type CallResult struct {
	Flow message.FlowID
	Echo []byte // request payload as echoed in the answer
}

// Call sends one request over a new flow. It returns errors of package caller,
// and ErrPromiseBroken if the answer does not belong to the request.
func Call(ctx context.Context, vms []netip.AddrPort, service string, payload []byte) (CallResult, error) {
	client, err := caller.Dial(caller.Config{Fabric: vms})
	if err != nil {
		return CallResult{}, err
	}
	defer client.Close()
	flow, err := client.OpenFlow(ctx, service)
	if err != nil {
		return CallResult{}, err
	}
	answer, err := flow.Do(ctx, caller.Request{Payload: payload})
	if err != nil {
		return CallResult{}, err
	}
	if !target.IsAnswerTo(payload, answer) {
		return CallResult{}, fmt.Errorf("answer of %d bytes does not belong to the request: %w", len(answer), ErrPromiseBroken)
	}
	id, err := flow.WireID()
	return CallResult{Flow: id, Echo: target.EchoedPayload(answer)}, err
}
