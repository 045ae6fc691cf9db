// Package relaypb holds the generated protobuf types of the messages between VMs
// that forward opaque flows.
package relaypb

//go:generate sh generate.sh
