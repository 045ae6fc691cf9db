// Package session is the protocol state machine of one caller with many flows. It
// does no I/O and reads no clock: the time, the seed and received messages are
// arguments, and every method that takes the time returns the messages to send and
// the results of the calls that ended.
package session
