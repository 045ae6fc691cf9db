// Package etcdjson defines the messages of the etcd v3 API in their JSON form, which the
// client in package store and the stand-in for the store exchange. The names follow
// rpc.proto and kv.proto (https://etcd.io/docs/v3.5/learning/api/): 64-bit integers are
// strings, keys and values are base64, zero values are omitted.
package etcdjson

// Paths of the calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathWatch     = "/v3/watch"
)

// gRPC status codes in error messages.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeInternal          = 13
	CodeUnavailable       = 14
)

// Header is part of every answer.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key up to RangeEnd, which is not included.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	Revision int64  `json:"revision,string,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse answers RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Result      string `json:"result,omitempty"`
	Target      string `json:"target,omitempty"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes the keys from Key up to RangeEnd.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a transaction: it executes Success if all comparisons hold, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers TxnRequest. The answers to the operations are not used.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// GrantRequest creates a lease; TTL is in seconds, and the store chooses the ID if it is 0.
type GrantRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string,omitempty"`
}

// GrantResponse answers GrantRequest.
type GrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
	Error  string `json:"error,omitempty"`
}

// KeepAliveRequest renews a lease.
type KeepAliveRequest struct {
	ID int64 `json:"ID,string,omitempty"`
}

// KeepAliveResponse answers KeepAliveRequest; TTL 0 means that the lease is unknown.
type KeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request,omitempty"`
}

// WatchCreateRequest selects the watched keys and the first revision; 0 means new events only.
type WatchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// EventDelete is the type of a deletion; puts have no type.
const EventDelete = "DELETE"

// Event is one write or deletion.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Stream wraps each message of a call whose response is a stream.
type Stream[T any] struct {
	Result *T           `json:"result,omitempty"`
	Error  *StreamError `json:"error,omitempty"`
}

// StreamError is an error that ends a stream. Version 1 of the gateway calls the gRPC
// status code grpc_code, version 2 calls it code.
type StreamError struct {
	GRPCCode int    `json:"grpc_code,omitempty"`
	Code     int    `json:"code,omitempty"`
	Message  string `json:"message"`
}

// Error is the body of an answer with an error status.
type Error struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}
