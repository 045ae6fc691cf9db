// Package lab holds stand-in targets and callers for trials on one machine.
package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire"
)

// ErrRefused means that a call was answered by a refusal.
var ErrRefused = errors.New("request was refused")

// ServeTarget answers every request on addr with its own payload until ctx ends.
func ServeTarget(ctx context.Context, addr netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	buf := make([]byte, wire.MaxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read from %s: %w", addr, err)
		}
		body, err := wire.Decode(buf[:n])
		if err != nil {
			continue
		}
		d, ok := body.(*message.Dispatch)
		if !ok {
			continue
		}
		answer := &message.Answer{Flow: d.Flow, ID: d.ID, Attempt: d.Attempt, Part: d.Part, Parts: d.Parts, Payload: d.Payload}
		data, err := wire.Append(nil, answer)
		if err != nil {
			return err
		}
		if _, err := conn.WriteToUDPAddrPort(data, from); err != nil {
			return fmt.Errorf("answer %s: %w", from, err)
		}
	}
}

// Call opens a flow through the VM at addr, sends one request and returns the answer.
func Call(addr netip.AddrPort, service string, payload []byte, timeout time.Duration) ([]byte, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	id := message.ServiceIDOf(service)
	flow := message.FlowID{Hi: rand.Uint64(), Lo: rand.Uint64()}
	reply, err := exchange(conn, &message.Open{Service: id, Flow: flow})
	if err != nil {
		return nil, err
	}
	bound, ok := reply.(*message.Bound)
	if !ok {
		return nil, fmt.Errorf("open flow: %w", ErrRefused)
	}
	reply, err = exchange(conn, &message.Request{
		Service: id, Flow: flow, ID: 1, Attempt: 1, Deadline: timeout, Parts: 1,
		Binding: bound.Binding, Payload: payload,
	})
	if err != nil {
		return nil, err
	}
	answer, ok := reply.(*message.Answer)
	if !ok {
		return nil, fmt.Errorf("request: %w", ErrRefused)
	}
	return answer.Payload, nil
}

func exchange(conn *net.UDPConn, body message.Body) (message.Body, error) {
	data, err := wire.Append(nil, body)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(data); err != nil {
		return nil, fmt.Errorf("send %T: %w", body, err)
	}
	buf := make([]byte, wire.MaxDatagram)
	n, err := conn.Read(buf)
	if err != nil {
		return nil, fmt.Errorf("wait for the answer to %T: %w", body, err)
	}
	return wire.Decode(buf[:n])
}
