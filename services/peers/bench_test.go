package peers

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/services/certwatch"
)

// BenchmarkHeartbeat sends one heartbeat at a time over an open link and reports the bytes
// per heartbeat, including yamux and TLS headers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, c := range []struct {
		name string
		tls  bool
	}{{"plain", false}, {"tls", true}} {
		b.Run(c.name, func(b *testing.B) {
			from, to := Config{Self: message.VMIDOf(vmA.Name)}, Config{Self: message.VMIDOf(vmB.Name)}
			var certsA, certsB []*certwatch.Service
			if c.tls {
				from, to = configOf(vmA), configOf(vmB)
				authority := newCA(b)
				certsA = append(certsA, newCertWatch(b, writeCertificate(b, authority, b.TempDir(), vmA), nil))
				certsB = append(certsB, newCertWatch(b, writeCertificate(b, authority, b.TempDir(), vmB), nil))
			}
			receiver := startNode(b, to, certsB...)
			sender, stepper := steppedNode(b, from, certsA...)
			send := func() {
				sender.Send(message.Message{To: receiver.address(), Body: heartbeatOf(vmA)})
				stepper.Advance(time.Microsecond)
				receiver.receive()
			}
			send()
			before := sender.Stats().BytesSent
			b.ResetTimer()
			for range b.N {
				send()
			}
			b.ReportMetric(float64(sender.Stats().BytesSent-before)/float64(b.N), "bytes/message")
		})
	}
}
