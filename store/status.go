package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/gypsumspan/gypsumspan/store/etcdjson"
)

// Messages of the store (api/v3rpc/rpctypes/error.go of etcd 3.5) that decide
// what an error status means.
const (
	msgTooLarge  = "etcdserver: request is too large"
	msgTooMany   = "etcdserver: too many operations in txn request"
	msgCompacted = "etcdserver: mvcc: required revision has been compacted"
	msgNoLease   = "etcdserver: requested lease not found"
	msgNoLeader  = "etcdserver: no leader"
	msgBusy      = "etcdserver: too many requests"
	msgNoSpace   = "etcdserver: mvcc: database space exceeded"
)

// statusError translates an answer with an error status.
func statusError(status int, body []byte, write bool) error {
	var e etcdjson.Error
	if json.Unmarshal(body, &e) != nil {
		// The answer comes from a proxy, not from the store.
		e = etcdjson.Error{Message: fmt.Sprintf("HTTP status %d", status)}
	}
	if e.Message == "" {
		e.Message = e.Error
	}
	return fmt.Errorf("%w: %s", classify(status, e.Code, e.Message, write), e.Message)
}

func classify(status, code int, message string, write bool) error {
	switch {
	case strings.HasPrefix(message, msgTooLarge), strings.HasPrefix(message, msgTooMany):
		return ErrTooLarge
	case strings.HasPrefix(message, msgCompacted):
		return ErrCompacted
	case strings.HasPrefix(message, msgNoLease):
		return ErrLeaseUnknown
	case strings.HasPrefix(message, msgNoLeader), strings.HasPrefix(message, msgNoSpace):
		return ErrUnavailable
	case strings.HasPrefix(message, msgBusy), status == http.StatusTooManyRequests:
		return ErrRateLimited
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status >= http.StatusInternalServerError && write:
		// A timeout or a change of leader in the store also ends here: the write
		// may have been made.
		return ErrUncertain
	case status >= http.StatusInternalServerError, code == etcdjson.CodeUnavailable:
		return ErrUnavailable
	default:
		return ErrProtocol
	}
}
