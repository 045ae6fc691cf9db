// Package target is a stand-in for a target: a server that executes a few requests at a
// time and uses the datagram format of package wire. Machine is its state machine without
// I/O; Server runs a Machine with a UDP socket and HTTP endpoints.
package target
