package balance

// Thresholds of Spill: the pressure of a domain, in requests in progress per slot, up to
// which new flows stay in it, where a partition between domains does not break them.
const (
	// SpillThresholdIdempotent is for flows whose requests may be retried. It keeps
	// queues short.
	SpillThresholdIdempotent = 0.6
	// SpillThresholdNonIdempotent is for flows whose requests may run at most once and
	// are lost in a partition: they leave only when there are more requests in progress
	// than slots.
	SpillThresholdNonIdempotent = 1.0
)

const (
	// spillGain is the fraction of new flows that leave a domain per relative excess of
	// pressure. It is above 1 since open flows do not move: new ones compensate for them.
	spillGain = 2.5
	// maxSpill is the largest fraction of new flows that leave a domain.
	maxSpill = 0.8
)

// Domain is the state of one service in one failure domain.
type Domain struct {
	Name           string
	Slots          int     // of the targets that accept flows
	ActiveRequests float64 // moving average of the requests in progress at them
}

// pressure returns the requests in progress per slot, 0 without slots.
func (d Domain) pressure() float64 {
	if d.Slots == 0 {
		return 0
	}
	return d.ActiveRequests / float64(d.Slots)
}

// Spill returns the failure domain whose targets a new flow uses. local is the domain
// of its VM, threshold the pressure up to which the flow stays there, and draw a number
// uniform in [0, 1). Flows leave local only if its pressure is also above the mean of all
// domains, and only for domains below the mean. They stay in a domain without slots.
func Spill(local string, domains []Domain, threshold, draw float64) string {
	var home Domain
	var active float64
	slots := 0
	for _, d := range domains {
		active += d.ActiveRequests
		slots += d.Slots
		if d.Name == local {
			home = d
		}
	}
	if home.Slots == 0 || slots == home.Slots {
		return local
	}
	mean := active / float64(slots)
	pressure := home.pressure()
	excess := pressure - max(mean, threshold)
	if excess <= 0 {
		return local
	}
	fraction := min(spillGain*excess/pressure, maxSpill)
	if draw >= fraction {
		return local
	}
	return drawLessLoaded(local, domains, mean, draw/fraction)
}

// drawLessLoaded returns one of the other domains below the mean, chosen by draw with
// the deficits as weights, or local if there is none. draw is uniform in [0, 1).
func drawLessLoaded(local string, domains []Domain, mean, draw float64) string {
	var total float64
	for _, d := range domains {
		total += deficit(local, d, mean)
	}
	draw *= total
	for _, d := range domains {
		l := deficit(local, d, mean)
		if l > 0 && draw < l {
			return d.Name
		}
		draw -= l
	}
	return local
}

// deficit returns how many fewer requests in progress d has than at mean pressure; 0 for
// the local domain.
func deficit(local string, d Domain, mean float64) float64 {
	if d.Name == local {
		return 0
	}
	return max(0, mean*float64(d.Slots)-d.ActiveRequests)
}
