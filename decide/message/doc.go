// Package message defines the typed messages that a VM's decisions receive and
// send. It knows no encoding, socket or clock. Durations are relative to the
// moment the message is handled, so clocks of different machines never meet.
package message
