package flowtable

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const service message.ServiceID = 1

var id = message.FlowID{Hi: 1, Lo: 2}

// Guards against a delayed duplicate that reopens a closed flow.
func TestClosedFlowIsRemembered(t *testing.T) {
	is := is.New(t)
	table := New(time.Hour)
	is.True(table.Open(0, service, id, true) != nil)
	is.True(table.Close(time.Second, id))
	is.True(table.Open(2*time.Second, service, id, true) == nil)
	table.Expire(time.Second+closedRetention, func(*Flow) {})
	is.True(table.Open(2*closedRetention, service, id, true) != nil)
}

// Guards against flows that never expire, and against flows that expire while they are in
// use.
func TestOnlyIdleFlowsExpire(t *testing.T) {
	is := is.New(t)
	table := New(time.Hour)
	other := message.FlowID{Lo: 9}
	table.Open(0, service, id, true)
	used := table.Open(0, service, other, true)
	table.Touch(30*time.Minute, used)
	var removed []message.FlowID
	table.Expire(time.Hour, func(f *Flow) { removed = append(removed, f.ID) })
	is.Equal(removed, []message.FlowID{id})
	is.True(table.Get(other) != nil)
}

// Guards against a handover that loses the accepted epochs of a flow, or whether the
// target has seen it.
func TestImportMergesFlows(t *testing.T) {
	is := is.New(t)
	table := New(time.Hour)
	table.Open(0, service, id, true)
	f := table.Import(time.Minute, message.FlowRecord{
		Flow: id, Service: service, Idle: time.Second, Epochs: []message.Epoch{3, 5},
	})
	is.True(!f.Fresh)
	is.Equal(f.LastSeen, 59*time.Second)
	is.True(f.Accepts(3) && f.Accepts(5) && !f.Accepts(7))
	f.AddEpochs([]message.Epoch{7, 9, 11})
	is.True(!f.Accepts(3)) // the oldest was dropped
	is.True(f.Accepts(5) && f.Accepts(11))
	is.Equal(f.Export(time.Minute, f.Epochs).Epochs, []message.Epoch{5, 7, 9, 11})
}

// Guards against a move whose ack is lost: its record arrives again, and must neither replace
// the epochs that callers use now by older ones nor bring back a closed flow.
func TestRepeatedImport(t *testing.T) {
	is := is.New(t)
	table := New(time.Hour)
	record := message.FlowRecord{Flow: id, Service: service, Epochs: []message.Epoch{1, 2, 3, 4, 5, 6, 7, 8}}
	for range 3 {
		is.Equal(table.Import(0, record).Epochs, []message.Epoch{5, 6, 7, 8})
	}
	table.Get(id).AddEpochs([]message.Epoch{9})
	is.Equal(table.Import(0, record).Epochs, []message.Epoch{6, 7, 8, 9})
	longer := record
	longer.Epochs = append(slices.Clone(record.Epochs), 9, 10)
	is.Equal(table.Import(0, longer).Epochs, []message.Epoch{7, 8, 9, 10})
	is.True(table.Close(time.Second, id))
	is.True(table.Import(2*time.Second, record) == nil)
	is.True(table.Get(id) == nil)
}
