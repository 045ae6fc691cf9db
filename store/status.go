package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/gypsumspan/gypsumspan/store/etcdjson"
)

// Prefixes of the store's error messages (api/v3rpc/rpctypes/error.go of etcd 3.5) by
// which classify distinguishes errors with the same status.
const (
	msgTooLarge          = "etcdserver: request is too large"
	msgTooManyOperations = "etcdserver: too many operations in txn request"
	msgCompacted         = "etcdserver: mvcc: required revision has been compacted"
	msgLeaseNotFound     = "etcdserver: requested lease not found"
	msgNoLeader          = "etcdserver: no leader"
	msgTooManyRequests   = "etcdserver: too many requests"
	msgNoSpace           = "etcdserver: mvcc: database space exceeded"
)

// statusError returns the error for an answer with an error status.
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

// classify returns the error of the package for an HTTP status, a gRPC code and an error
// message. write means that the call may have changed the store.
func classify(status, code int, message string, write bool) error {
	switch {
	case strings.HasPrefix(message, msgTooLarge), strings.HasPrefix(message, msgTooManyOperations):
		return ErrTooLarge
	case strings.HasPrefix(message, msgCompacted):
		return ErrCompacted
	case strings.HasPrefix(message, msgLeaseNotFound):
		return ErrLeaseUnknown
	case strings.HasPrefix(message, msgNoLeader), strings.HasPrefix(message, msgNoSpace):
		return ErrUnavailable
	case strings.HasPrefix(message, msgTooManyRequests), status == http.StatusTooManyRequests:
		return ErrRateLimited
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status >= http.StatusInternalServerError && write:
		// This includes a timeout and a change of leader in the store, after which the
		// write may have taken effect.
		return ErrUncertain
	case status >= http.StatusInternalServerError, code == etcdjson.CodeUnavailable:
		return ErrUnavailable
	default:
		return ErrProtocol
	}
}
