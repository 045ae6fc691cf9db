package lab

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/gypsumspan/gypsumspan/caller"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// Call sends one request over a new flow and returns what the stand-in target
// echoed of it. It returns errors of package caller, and ErrPromiseBroken for a
// wrong answer.
func Call(ctx context.Context, vms []netip.AddrPort, service string, payload []byte) ([]byte, error) {
	client, err := caller.Dial(caller.Config{Fabric: vms})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	flow, err := client.OpenFlow(ctx, service)
	if err != nil {
		return nil, err
	}
	answer, err := flow.Do(ctx, caller.Request{Payload: payload})
	if err != nil {
		return nil, err
	}
	if !target.IsAnswerTo(payload, answer) {
		return nil, fmt.Errorf("answer of %d bytes is not an answer to the request: %w", len(answer), ErrPromiseBroken)
	}
	return target.Echo(answer), nil
}
