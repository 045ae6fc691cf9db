package session

import (
	"bytes"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// split cuts payload into datagram payloads. It returns nil if there are too many.
func split(payload []byte) [][]byte {
	count := max(1, (len(payload)+message.MaxPayload-1)/message.MaxPayload)
	if count > message.MaxParts {
		return nil
	}
	parts := make([][]byte, 0, count)
	for range count - 1 {
		parts = append(parts, payload[:message.MaxPayload])
		payload = payload[message.MaxPayload:]
	}
	return append(parts, payload)
}

// assembly collects the parts of the answer to one attempt.
type assembly struct {
	parts   [][]byte
	has     []bool
	missing int
}

func newAssembly(parts uint16) *assembly {
	return &assembly{parts: make([][]byte, parts), has: make([]bool, parts), missing: int(parts)}
}

// add stores a part. It reports false for a duplicate and for a part that does
// not fit the number of parts seen first.
func (a *assembly) add(m *message.Answer) bool {
	if int(m.Parts) != len(a.parts) || int(m.Part) >= len(a.parts) || a.has[m.Part] {
		return false
	}
	a.has[m.Part] = true
	a.parts[m.Part] = m.Payload
	a.missing--
	return true
}

// whole returns the payload of a complete answer.
func (a *assembly) whole() []byte {
	return bytes.Join(a.parts, nil)
}
