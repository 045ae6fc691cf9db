package relay

import (
	"cmp"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/services/pulls"
	"github.com/gypsumspan/gypsumspan/wire/relaywire"
)

// gzipEncoding is the content coding of compressed answers.
const gzipEncoding = "gzip"

// answerTimeout bounds the time that a pull of another VM waits for the deciding duty.
const answerTimeout = 500 * time.Millisecond

// HandlePullResult implements pulls.Inbox.
func (s *Service) HandlePullResult(r pulls.Result) error { return s.queue(input{pull: &r}) }

// completePull counts a pull and passes its result to the machine.
func (s *Service) completePull(now time.Duration, r *pulls.Result) {
	s.pullsDone.Add(1)
	if r.Err != nil {
		s.pullsFailed.Add(1)
		s.log.Log(events.PullFailed, events.F("peer", r.Peer), events.F("error", r.Err))
		s.machine.PullFailed(now)
		return
	}
	s.machine.HandlePullAnswer(now, r.StartedAt, r.Update)
}

// ChangesSince has the deciding duty, which owns the replica, call respond with what was
// written after a revision. It returns an error when the VM is stopping.
func (s *Service) ChangesSince(after revision.Revision, respond func(relay.Update)) error {
	return s.request(&pullRequest{after: after, respond: respond})
}

func (s *Service) request(r *pullRequest) error { return s.queue(input{request: r}) }

// answerPull answers a pull of another VM.
func (s *Service) answerPull(now time.Duration, r *pullRequest) {
	update := s.machine.AnswerPull(now, r.after)
	if r.withoutEra {
		update = s.machine.AnswerPullWithoutEra(now, r.after.Number())
	}
	r.respond(update)
}

// RecordSent tells the deciding duty that an answer to a pull of the given size in bytes is sent. It
// returns an error when the VM is stopping.
func (s *Service) RecordSent(size int) error { return s.queue(input{sentBytes: size}) }

// addBacklog records an answer to a pull that is sent.
func (s *Service) addBacklog(now time.Duration, size int) {
	s.backlog.Add(now, size)
	if s.backlog.Delaying(now) {
		s.nextLoadReport = now // "packets" is told at once that it must not judge targets
	}
}

// servePull is the HTTP handler for pulls by other VMs.
func (s *Service) servePull(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := parsePosition(query)
	if err != nil {
		http.Error(w, "after and era must be whole numbers", http.StatusBadRequest)
		return
	}
	result := make(chan relay.Update, 1)
	request := &pullRequest{after: after, withoutEra: !query.Has(pulls.EraParameter), respond: func(update relay.Update) { result <- update }}
	if err := s.request(request); err != nil {
		http.Error(w, "VM is stopping", http.StatusServiceUnavailable)
		return
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case update := <-result:
		s.writeResponse(w, r, after, update)
	case <-timer.C:
		http.Error(w, "VM is busy", http.StatusServiceUnavailable)
	}
}

// EncodeAnswer encodes the answer to a pull of the changes after a revision, compressed.
func (s *Service) EncodeAnswer(after revision.Revision, update relay.Update) ([]byte, error) {
	s.compressorLock.Lock()
	defer s.compressorLock.Unlock()
	return s.compressor.EncodeUpdate(int64(after), update)
}

// parsePosition returns the revision after which a pull asks for changes. VMs of builds that
// know no eras send none.
func parsePosition(query url.Values) (revision.Revision, error) {
	after, err := strconv.ParseInt(query.Get(pulls.AfterParameter), 10, 64)
	if err != nil {
		return 0, err
	}
	era, err := strconv.ParseUint(cmp.Or(query.Get(pulls.EraParameter), "0"), 10, 32)
	return revision.New(uint32(era), after), err
}

// writeResponse writes the answer to a pull, compressed if the other VM accepts that.
func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, after revision.Revision, update relay.Update) {
	var body []byte
	var err error
	if strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding) {
		w.Header().Set("Content-Encoding", gzipEncoding)
		body, err = s.EncodeAnswer(after, update)
	} else {
		body, err = relaywire.EncodeUpdate(update)
	}
	if err != nil {
		w.Header().Del("Content-Encoding")
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if s.RecordSent(len(body)) != nil {
		return // the VM is stopping
	}
	s.pullsAnswered.Add(1)
	// An error means that the other VM closed the connection; it pulls again.
	_, _ = w.Write(body)
}
