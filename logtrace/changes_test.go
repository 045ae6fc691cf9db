package logtrace

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const changesSample = `0 vm-3 {"event":"GS6127","name":"changes_received","revision":"7","keys":9,"way":"read","behind_ms":0,"time":"2026-10-04T09:00:30Z"}
0 vm-3 {"event":"GS6102","name":"configuration_applied","revision":"7","version":3,"queued_ms":0,"time":"2026-10-04T09:00:30Z"}
1 vm-1 {"event":"GS6127","name":"changes_received","revision":"7","keys":1,"way":"watch","behind_ms":20,"pulls_failed":0,"time":"2026-10-04T09:00:01Z"}
1 vm-1 {"event":"GS6102","name":"configuration_applied","revision":"7","version":3,"queued_ms":0,"time":"2026-10-04T09:00:01.1Z"}
9 vm-2 {"event":"GS6102","name":"configuration_applied","revision":"7","version":3,"queued_ms":40,"time":"2026-10-04T09:00:09Z"}
8 vm-2 {"event":"GS6127","name":"changes_received","revision":"8","keys":2,"way":"pull","from":"vm-1","behind_ms":8000,"pulls_failed":4,"time":"2026-10-04T09:00:08Z"}
10 vm-2 {"event":"GS6102","name":"configuration_applied","revision":"7","version":3,"queued_ms":0,"time":"2026-10-04T09:00:20Z"}
9 vm-2 {"event":"GS6103","name":"target_changed","revision":"8","target":"i-1","state":"draining","time":"2026-10-04T09:00:09Z"}
`

// Guards against a late change whose VM, way or waits the command does not name, and against one that
// seems late since a VM has started.
func TestChanges(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(changesSample), "")
	is.NoErr(err)
	changes := Changes(lines)
	is.Equal(len(changes), 2)
	is.Equal(changes[0].What, "version 3")
	is.Equal(len(changes[0].Arrivals), 2)
	is.Equal(changes[0].Lag(), 7900*time.Millisecond)
	is.Equal(changes[0].Arrivals[0].VM, "vm-1")
	is.Equal(changes[0].Arrivals[0].Before, map[string]any{"behind_ms": 20.0})
	last := changes[0].Arrivals[1]
	is.Equal(last.Way, "pull")
	is.Equal(last.Before, map[string]any{"from": "vm-1", "behind_ms": 8000.0, "pulls_failed": 4.0, "in_force_after_ms": 40.0})
	is.Equal(changes[1].What, "target i-1 draining")
	is.Equal(Slowest(changes, 1)[0].What, "version 3")
}
