package balance

// The pressure of a domain, requests in progress for each slot, up to which flows
// stay in the domain: they are not hurt when it is cut off from others.
const (
	// SpillThresholdIdempotent is for flows whose requests may be repeated: queues are short.
	SpillThresholdIdempotent = 0.6
	// SpillThresholdNonIdempotent is for flows whose requests may run at most once, which a cut loses:
	// every slot is taken.
	SpillThresholdNonIdempotent = 1.0
)

const (
	// spillGain is how strongly a difference in pressure moves new flows. Open flows
	// stay where they are, so that new ones have to make up for them.
	spillGain = 2.5
	// maxSpill bounds the part of new flows that leaves a domain.
	maxSpill = 0.8
)

// Domain is the state of one service in one failure domain.
type Domain struct {
	Name  string
	Slots int     // of the targets that take flows
	Busy  float64 // requests in progress at them, averaged over the last seconds
}

func (d Domain) pressure() float64 {
	if d.Slots == 0 {
		return 0
	}
	return d.Busy / float64(d.Slots)
}

// Spill returns the failure domain whose targets a new flow shall use, given the
// domain of its caller, the pressure up to which it stays there, and a number that
// is uniform in [0, 1). Flows leave a domain only when others are under less
// pressure.
func Spill(local string, domains []Domain, calm, draw float64) string {
	var home Domain
	var busy float64
	slots := 0
	for _, d := range domains {
		busy += d.Busy
		slots += d.Slots
		if d.Name == local {
			home = d
		}
	}
	if home.Slots == 0 || slots == home.Slots {
		return local
	}
	mean := busy / float64(slots)
	pressure := home.pressure()
	excess := pressure - max(mean, calm)
	if excess <= 0 {
		return local
	}
	part := min(spillGain*excess/pressure, maxSpill)
	if draw >= part {
		return local
	}
	return lightest(local, domains, mean, draw/part)
}

// lightest draws one of the domains below the mean, by the work that each lacks.
func lightest(local string, domains []Domain, mean, draw float64) string {
	var total float64
	for _, d := range domains {
		total += lack(local, d, mean)
	}
	draw *= total
	for _, d := range domains {
		l := lack(local, d, mean)
		if l > 0 && draw < l {
			return d.Name
		}
		draw -= l
	}
	return local
}

// lack returns the requests in progress that d has less than the mean.
func lack(local string, d Domain, mean float64) float64 {
	if d.Name == local {
		return 0
	}
	return max(0, mean*float64(d.Slots)-d.Busy)
}
