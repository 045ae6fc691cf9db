// Package events defines the numbered log events of gypsumspan and writes them
// through logrus.
//
// Every event is a variable of type *Event in this package with a number, a
// level, a name, a message and the names of its fields. The variable is the
// event's name in camel case. docs/events.md lists the events for operators; a
// test compares the page with this package.
//
// Each event that callers, targets or other VMs can cause has its own rate limit.
// Lines above the limit are counted, and the next line of the event reports
// the count in the field "suppressed".
package events
