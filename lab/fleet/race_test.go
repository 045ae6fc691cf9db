//go:build race

package fleet

// raceDetector is true when tests run under the race detector, about 15 times slower.
const raceDetector = true
