// Package lab implements the command line of gypsumlab for tests on one machine:
// a load generator, an oracle that checks the results of a run, and commands that
// run the stand-ins, experiments, emulated days and soaks.
package lab
