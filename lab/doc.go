// Package lab holds the load generator and runs the stand-ins, for trials on
// one machine. Command gypsumlab is its command line.
package lab
