// Package wirepb holds the generated protobuf types of the wire format.
package wirepb

//go:generate sh generate.sh
