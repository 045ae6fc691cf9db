//go:build race

package fleet

// raceDetector reports whether tests run under the race detector, which makes them about
// 15 times slower.
const raceDetector = true
