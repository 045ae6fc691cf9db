package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/services/pulls"
	"github.com/gypsumspan/gypsumspan/wire/relaywire"
)

// answerTimeout bounds the wait for the deciding duty.
const answerTimeout = 500 * time.Millisecond

// HandlePullResult implements pulls.Inbox.
func (s *Service) HandlePullResult(a pulls.Result) error { return s.in.Put(input{pulled: &a}) }

// takePulled takes in the answer of another VM.
func (s *Service) takePulled(now time.Duration, a *pulls.Result) {
	s.pullCount.Add(1)
	if a.Err != nil {
		s.pullsFailed.Add(1)
		s.log.Log(events.PullFailed, events.F("peer", a.Peer), events.F("error", a.Err))
		s.machine.PullFailed(now)
		return
	}
	s.machine.FromPull(now, a.StartedAt, a.News)
}

// ChangesSince has the deciding duty, which owns the replica, call respond with what was
// written after a revision. It returns an error when the VM is stopping.
func (s *Service) ChangesSince(after int64, respond func(relay.News)) error {
	return s.in.Put(input{asked: &question{after: after, respond: respond}})
}

// answerPull answers one pull. The deciding duty owns the copy.
func (s *Service) answerPull(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a whole number", http.StatusBadRequest)
		return
	}
	answer := make(chan relay.News, 1)
	if err := s.ChangesSince(after, func(news relay.News) { answer <- news }); err != nil {
		http.Error(w, "VM is stopping", http.StatusServiceUnavailable)
		return
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case news := <-answer:
		s.writeNews(w, news)
	case <-timer.C:
		http.Error(w, "VM is busy", http.StatusServiceUnavailable)
	}
}

func (s *Service) writeNews(w http.ResponseWriter, news relay.News) {
	body, err := relaywire.EncodeNews(news)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.pullsAnswered.Add(1)
	// An error means that the other VM has gone away; it pulls again.
	_, _ = w.Write(body)
}
