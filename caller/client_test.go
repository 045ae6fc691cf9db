package caller_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/caller"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire"
)

// echoFleet is a transport to a fleet that answers every request with its payload,
// part by part. It refuses requests of kind 1 and ignores those of kind 2.
type echoFleet struct{}

type echoConn struct {
	replies chan []byte
	closed  chan struct{}
	once    sync.Once
}

func (echoFleet) Open() (caller.Conn, error) {
	return &echoConn{replies: make(chan []byte, 1000), closed: make(chan struct{})}, nil
}

func (c *echoConn) Send(datagram []byte, _ uint64) error {
	body, err := wire.Decode(datagram)
	if err != nil {
		return err
	}
	reply := replyTo(body)
	if reply == nil {
		return nil
	}
	data, err := wire.Append(nil, reply)
	if err != nil {
		return err
	}
	c.replies <- data
	return nil
}

func replyTo(body message.Body) message.Body {
	binding := message.Binding{Target: 1, Epoch: 1}
	switch m := body.(type) {
	case *message.Open:
		return &message.Bound{Flow: m.Flow, Binding: binding}
	case *message.Request:
		if m.Kind == 1 {
			return &message.Refusal{Flow: m.Flow, ID: m.ID, Attempt: m.Attempt, Reason: message.MayHaveRun}
		}
		if m.Kind == 2 {
			return nil
		}
		return &message.Answer{
			Flow: m.Flow, ID: m.ID, Attempt: m.Attempt, Part: m.Part, Parts: m.Parts, Binding: binding, Payload: m.Payload,
		}
	default:
		return nil
	}
}

func (c *echoConn) Receive(buffer []byte) (int, error) {
	select {
	case data := <-c.replies:
		return copy(buffer, data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *echoConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Example shows one request over one flow. Clients usually set Config.Fabric instead
// of Config.Transport.
func Example() {
	client, err := caller.Dial(caller.Config{Transport: echoFleet{}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	flow, err := client.OpenFlow(ctx, "live tracking")
	if err != nil {
		fmt.Println(err)
		return
	}
	answer, err := flow.Do(ctx, caller.Request{Payload: []byte("check-in 17")})
	switch {
	case errors.Is(err, caller.ErrMayHaveRun):
		fmt.Println("ask the target before sending again")
	case err != nil:
		fmt.Println(err)
	default:
		fmt.Println(string(answer))
	}
	// Output: check-in 17
}

// TestConcurrentCalls guards against answers that are passed to the wrong call when
// several flows use several sockets and requests have several parts.
func TestConcurrentCalls(t *testing.T) {
	is := is.New(t)
	client, err := caller.Dial(caller.Config{Transport: echoFleet{}, Sockets: 3})
	is.NoErr(err)
	defer client.Close()
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			flow, err := client.OpenFlow(t.Context(), "service")
			if err != nil {
				t.Error(err)
				return
			}
			payload := bytes.Repeat([]byte{byte(i)}, 3000)
			answer, err := flow.Do(t.Context(), caller.Request{Payload: payload})
			if err != nil || !bytes.Equal(answer, payload) {
				t.Errorf("call %d: %d bytes, error %v", i, len(answer), err)
			}
		})
	}
	group.Wait()
}

// TestErrors guards against errors that callers can't distinguish with errors.Is.
func TestErrors(t *testing.T) {
	is := is.New(t)
	_, err := caller.Dial(caller.Config{})
	is.True(errors.Is(err, caller.ErrNoFabric))
	client, err := caller.Dial(caller.Config{Transport: echoFleet{}})
	is.NoErr(err)
	flow, err := client.OpenFlow(t.Context(), "service")
	is.NoErr(err)
	_, err = flow.Do(t.Context(), caller.Request{Kind: 1})
	is.True(errors.Is(err, caller.ErrMayHaveRun))
	_, err = flow.Do(t.Context(), caller.Request{Payload: make([]byte, 65*1200)})
	is.True(errors.Is(err, caller.ErrTooLarge))
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = flow.Do(short, caller.Request{Kind: 2})
	is.True(errors.Is(err, caller.ErrDeadline))
	is.True(errors.Is(err, caller.ErrMayHaveRun))
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	_, err = flow.Do(cancelled, caller.Request{Kind: 2})
	is.True(errors.Is(err, caller.ErrCancelled))
	id, err := flow.WireID()
	is.NoErr(err)
	is.True(id != message.FlowID{})
	is.NoErr(client.Close())
	_, err = flow.Do(t.Context(), caller.Request{})
	is.True(errors.Is(err, caller.ErrClosed))
	_, err = flow.WireID()
	is.True(errors.Is(err, caller.ErrClosed))
}
