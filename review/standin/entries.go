package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// overwrite writes the entry of a backend as another writer might: with change applied to
// the backend's own entry. It does so right after the backend's heartbeat.
func overwrite(d *deployment, b *backend, change func(entry map[string]any)) {
	b.mu.Lock()
	entry := b.entry(b.heartbeat)
	b.mu.Unlock()
	change(entry)
	text, _ := json.Marshal(entry)
	revision := d.store.put("servers/"+b.id, text)
	d.record.add("disruption: another writer writes servers/%s, revision %d: %s", b.id, revision, text)
}

// afterHeartbeat waits until the backend has just sent a heartbeat.
func afterHeartbeat(b *backend) {
	count := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.heartbeat
	}
	for before := count(); count() == before; {
		time.Sleep(time.Millisecond)
	}
}

// malformedEntry has another writer put an entry without its slots under the id of a
// backend that lives, while that backend runs requests of open flows.
func malformedEntry(r *record, trouble bool) error {
	const nodes, backends, flows = 3, 4, 24
	d, err := deploy(r, nodes, backends)
	defer d.end()
	if err != nil {
		return err
	}
	c, err := newConsumer(d.ip(consumerKind, 1), d)
	if err != nil {
		return err
	}
	held := map[*backend][]*flow{}
	for i := range flows {
		f := c.newFlow(d.checkinRoute(), nil)
		if f.connect() != nil {
			continue
		}
		if _, err := f.request(fmt.Sprintf("checkin-%d-first", i), "POST /checkin", 20*time.Millisecond, 2*time.Second); err != nil {
			continue
		}
		if b := d.holder(f.key()); b != nil {
			held[b] = append(held[b], f)
		}
	}
	b := d.backends[0]
	if len(held[b]) == 0 {
		return fmt.Errorf("%w: no flow was opened at %s", errSetup, b.id)
	}
	// The consumers pause for three seconds.
	time.Sleep(3 * time.Second)
	afterHeartbeat(b)
	var wg sync.WaitGroup
	const slots = 3 // no request waits for another one
	for i, f := range held[b][:min(slots, len(held[b]))] {
		wg.Go(func() {
			id := fmt.Sprintf("checkin-%d-second", i)
			_, err := f.request(id, "POST /checkin", 430*time.Millisecond, 2*time.Second)
			if reset := f.wasReset(); err != nil && reset != "" && reset != "a backend at "+b.conn.LocalAddr().String() {
				r.breaks("FLOW: flow %s, open at %s, which lives, is reset by %s; request %s ran %d times and is never answered",
					f.from, b.id, reset, id, d.ran(id))
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	if trouble {
		overwrite(d, b, func(entry map[string]any) { delete(entry, "slots") })
	}
	wg.Wait()
	return nil
}

// foreignService has another writer put an entry without a version, and with the name of
// another service, under the id of a backend that lives.
func foreignService(r *record, trouble bool) error {
	const nodes, backends, flows = 3, 4, 24
	d, err := deploy(r, nodes, backends)
	defer d.end()
	if err != nil {
		return err
	}
	c, err := newConsumer(d.ip(consumerKind, 1), d)
	if err != nil {
		return err
	}
	other := d.backends[backends] // serves routefiles
	afterHeartbeat(other)
	if trouble {
		overwrite(d, other, func(entry map[string]any) {
			delete(entry, "version")
			entry["service"] = trackhub
		})
	}
	time.Sleep(150 * time.Millisecond)
	var wg sync.WaitGroup
	for i := range flows {
		wg.Go(func() {
			f := c.newFlow(d.checkinRoute(), nil)
			if f.connect() != nil {
				return
			}
			id := fmt.Sprintf("checkin-%d", i)
			body, err := f.request(id, "POST /checkin", 72*time.Millisecond, 2*time.Second)
			if other.ran(id) > 0 {
				r.breaks("ROUTE: request %s of a route to %s is run by %s of %s; its consumer got %q, %v",
					id, trackhub, other.id, other.service, body, err)
			}
		})
	}
	wg.Wait()
	return nil
}
