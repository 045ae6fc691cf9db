package settings

// Example returns the text of a valid settings file for a VM on the loopback
// address, with every required key and some of the others.
func Example() string {
	return example
}

const example = `# Settings of one entry VM. docs/settings.md lists every key.

[vm]
name = "vm-1"
domain = "north"

[listen]
callers = "127.0.0.1:7100"
data = "127.0.0.1:7200"
control = "127.0.0.1:7400"
admin = "127.0.0.1:7500"

# [advertise] is needed when the VM listens on 0.0.0.0 or behind an address translation.
# [advertise]
# data = "192.0.2.1:7200"
# control = "192.0.2.1:7400"

[store]
endpoints = ["http://127.0.0.1:2379"]

# [vm_list]
# url = "http://127.0.0.1:7900/vms"

# [[seeds]]
# name = "vm-2"
# control = "127.0.0.2:7400"

# [tls] authenticates VMs and operators; without it the fleet is open to whoever reaches it.
# [tls]
# ca = "/etc/gypsumspan/ca.pem"
# cert = "/etc/gypsumspan/vm-1.pem"
# key = "/etc/gypsumspan/vm-1.key"

[log]
format = "text"
level = "info"

[timings]
stop_grace = "30s"
`
