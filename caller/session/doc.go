// Package session is the protocol state machine of one caller that holds many
// flows. It is pure: time, seed and received messages come in as arguments, and
// every call returns the messages to send and the calls that ended.
package session
