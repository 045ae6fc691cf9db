package kernel

// Gate wakes one duty. All rings that a duty reads share its gate. A signal is
// kept until it is taken; further signals before that have no effect.
type Gate struct {
	ch chan struct{}
}

// NewGate returns a gate without a pending signal.
func NewGate() *Gate {
	return &Gate{ch: make(chan struct{}, 1)}
}

// Signal wakes the waiting duty, or the next one to wait.
func (g *Gate) Signal() {
	select {
	case g.ch <- struct{}{}:
	default:
	}
}

// TryTake takes a pending signal and reports whether there was one.
func (g *Gate) TryTake() bool {
	select {
	case <-g.ch:
		return true
	default:
		return false
	}
}

// C returns the channel that delivers the signal.
func (g *Gate) C() <-chan struct{} {
	return g.ch
}
