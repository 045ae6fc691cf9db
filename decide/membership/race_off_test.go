//go:build !race

package membership

// raceEnabled reports whether the race detector is on.
const raceEnabled = false
