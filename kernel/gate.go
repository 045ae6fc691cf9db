package kernel

// Gate wakes one duty or blocker. All rings that a duty reads share its gate. At most
// one signal is pending; further signals have no effect until it is received.
type Gate struct {
	ch chan struct{}
}

// NewGate returns a gate without a pending signal.
func NewGate() *Gate {
	return &Gate{ch: make(chan struct{}, 1)}
}

// Signal makes a signal pending. It never blocks.
func (g *Gate) Signal() {
	select {
	case g.ch <- struct{}{}:
	default:
	}
}

// TryTake clears the pending signal and reports whether there was one.
func (g *Gate) TryTake() bool {
	select {
	case <-g.ch:
		return true
	default:
		return false
	}
}

// C returns the channel that delivers the pending signal.
func (g *Gate) C() <-chan struct{} {
	return g.ch
}
