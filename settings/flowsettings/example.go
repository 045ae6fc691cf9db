package flowsettings

// Example returns the text of a valid settings file for a VM on the loopback
// address.
func Example() string { return example }

const example = `# Settings of gypsumflowd on one VM. docs/flow-settings.md lists every key.

[vm]
name = "vm-1"
domain = "north"

[listen]
packets = "127.0.0.1:8172"
readiness = "127.0.0.1:8167"
beats = "127.0.0.1:7720"
control = "127.0.0.1:7721"

[readiness]
path = "/readyz"

[store]
address = "127.0.0.1:8169"

[catalog]
apply_within = "3s"
seeds = ["127.0.0.2:7721"]

[log]
format = "json"
level = "info"

[timings]
stop_grace = "6s"
`
