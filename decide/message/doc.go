// Package message defines the messages that the decision code of a VM receives and
// sends. It is independent of their encoding and transport. Durations are relative to the
// time at which the message is handled, so that clocks of different machines are never
// compared.
package message
