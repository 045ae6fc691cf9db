package flood

import "time"

const (
	// minResponses is the number of responses from which the usual response time is known.
	minResponses = 20
	// responseDecay is the weight of the previous value in the moving average of response times.
	responseDecay = 0.99
	// calmPressure is the number of requests in progress per slot up to which response times
	// are recorded: above it they include waiting.
	calmPressure = 1.0
	// Flows are refused from an expected response time of refuseFactor times the timeout, until
	// it is below admitFactor times the timeout. The expected time is a mean, and the reports are
	// up to a second old, so that requests near the timeout may still be answered.
	refuseFactor = 1.5
	admitFactor  = 1.2
)

// Lateness decides for one route whether a new flow is refused since its request can't be
// answered before its timeout. Its zero value admits everything.
type Lateness struct {
	seconds  float64 // usual response time
	count    int
	refusing bool
}

// Record records a response time, measured while the service had pressure requests in progress
// per slot.
func (l *Lateness) Record(elapsed time.Duration, pressure float64) {
	if pressure > calmPressure {
		return
	}
	l.count = min(l.count+1, minResponses*100)
	decay := min(responseDecay, 1-1/float64(l.count))
	l.seconds = decay*l.seconds + (1-decay)*elapsed.Seconds()
}

// Expected returns the expected response time: by Little's law, the usual one times the pressure
// if all slots are in use. It is 0 while the usual response time is unknown.
func (l *Lateness) Expected(pressure float64) time.Duration {
	if l.count < minResponses {
		return 0
	}
	return time.Duration(l.seconds * max(pressure, 1) * float64(time.Second))
}

// Update sets whether flows are refused, from a report of the pressure. timeout is that of the
// route; 0: none.
func (l *Lateness) Update(pressure float64, timeout time.Duration) {
	factor := refuseFactor
	if l.refusing {
		factor = admitFactor
	}
	// A service that is not overloaded serves requests at once, however slow they are.
	l.refusing = pressure > limitPerSlot && timeout > 0 && l.Expected(pressure) >= time.Duration(factor*float64(timeout))
}

// Refusing reports whether new flows are refused.
func (l *Lateness) Refusing() bool { return l.refusing }
