// Package target is a stand-in for a target: a server with a few slots that
// speaks the datagram format of package wire. Machine is pure; Service runs it
// behind a UDP socket and an HTTP endpoint.
package target
